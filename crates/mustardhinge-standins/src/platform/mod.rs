//! The platform's object API and its list of instances.

mod call_counts;
mod call_kind;
mod instance_entry;
mod instance_list;
mod object_store;
mod object_update;
mod platform_api;
mod platform_builder;
mod platform_faults;
mod platform_handle;
mod platform_server;
mod platform_shared;
mod stored_object;

pub use call_counts::CallCounts;
pub use call_kind::CallKind;
pub use instance_entry::{InstanceEntry, InstanceState, InstanceUpdate};
pub use object_store::ObjectStore;
pub use object_update::ObjectUpdate;
pub use platform_builder::PlatformBuilder;
pub use platform_faults::PlatformFaults;
pub use platform_handle::PlatformHandle;
pub use platform_server::PlatformServer;
pub use stored_object::StoredObject;
