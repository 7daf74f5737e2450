//! Process of the entry, which tests and the bench can also run as tasks.

mod cancel_registry;
mod entry_builder;
mod entry_process;
mod entry_shared;
mod listener;
mod tls_setup;

pub use cancel_registry::{CancelRegistry, CancelSlot};
pub use entry_builder::EntryBuilder;
pub use entry_process::EntryProcess;
pub use entry_shared::EntryShared;
