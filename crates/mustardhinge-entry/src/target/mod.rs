//! Pooled connections to targets. Each connection is validated after an idle time
//! and leased to one transaction at a time.

mod cancel_key;
mod connection_error;
mod leased_work;
mod pool_refusal;
mod pool_settings;
mod queue_metrics;
mod queue_place;
mod request_queue;
mod slot_request;
mod target_connection;
mod target_lease;
mod target_pool;

pub use cancel_key::CancelKey;
pub use connection_error::ConnectionError;
pub use leased_work::LeasedWork;
pub use pool_refusal::PoolRefusal;
pub use pool_settings::PoolSettings;
pub use queue_place::{QueuePlace, QueueResult};
pub use request_queue::RequestQueue;
pub use slot_request::SlotRequest;
pub use target_connection::TargetConnection;
pub(crate) use target_connection::transaction_status;
pub use target_lease::TargetLease;
pub use target_pool::TargetPool;
