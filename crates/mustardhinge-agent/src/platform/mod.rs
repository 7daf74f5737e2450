//! Calls to the platform's object API, each with a timeout and a metric.

mod document_watch;
mod instance_watch;
mod object_kind;
mod object_list;
mod object_update;
mod platform_client;
mod platform_error;
mod put_outcome;
mod stored_object;
mod watch_backoff;

pub(crate) use document_watch::watch_documents;
pub(crate) use instance_watch::watch_instances;
pub(crate) use watch_backoff::count_retry;

pub use mustardhinge_rpc::peer::{InstanceEntry, InstanceList};
pub use object_kind::ObjectKind;
pub use object_list::ObjectList;
pub use object_update::ObjectUpdate;
pub use platform_client::PlatformClient;
pub use platform_error::PlatformError;
pub use put_outcome::PutOutcome;
pub use stored_object::StoredObject;
