//! Connections to targets: pooling, leasing to one session at a time, fair queuing and health.

mod cold_time;
mod connection_error;
mod connection_hold;
mod connection_pool;
mod connection_request;
mod idle_connections;
mod leased_work;
mod link_admission;
mod link_preview;
mod queue_metrics;
mod response_timeouts;
mod running_statement;
mod target_connection;
mod target_gateways;
mod target_handle;
mod target_health;
mod target_lease;
mod target_preview;
mod target_queue;
mod target_reclaim;
mod target_reply;
mod target_waiting;
mod unanswered_statement;
mod wait_ticket;
mod waiting_watch;

pub use connection_error::ConnectionError;
pub use connection_request::ConnectionRequest;
pub(crate) use link_admission::LinkAdmission;
pub(crate) use link_preview::LinkPreview;
pub use response_timeouts::ResponseTimeouts;
pub use target_connection::TargetConnection;
pub use target_handle::TargetHandle;
pub use target_health::TargetHealth;
pub use target_lease::TargetLease;
pub use target_reply::TargetReply;
pub use unanswered_statement::UnansweredStatement;
