//! Connections to targets: opened, lent to one session at a time, and what they tell.

mod answer_time;
mod link_error;
mod link_lease;
mod link_need;
mod link_pool;
mod target_gateways;
mod target_handle;
mod target_health;
mod target_line;
mod target_link;
mod target_reply;

pub use answer_time::AnswerTime;
pub use link_error::LinkError;
pub use link_lease::LinkLease;
pub use link_need::LinkNeed;
pub use target_handle::TargetHandle;
pub use target_health::TargetHealth;
pub use target_link::TargetLink;
pub use target_reply::TargetReply;
