//! What the agent told the entry, ready for the threads that serve.

mod control_link;
mod control_snapshot;
mod service_runtime;

pub use control_link::ControlLink;
pub use control_snapshot::ControlSnapshot;
pub use service_runtime::ServiceRuntime;
