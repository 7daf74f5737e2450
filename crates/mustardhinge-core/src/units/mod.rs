//! Newtypes for numbers with a unit.

mod count_unit;
mod document_version;
mod leader_term;
mod log_position;
mod milli_unit;
mod monotonic_time;
mod request_burst;
mod request_rate;
mod route_priority;
mod unit_error;

pub(crate) use count_unit::count_unit;
pub use document_version::DocumentVersion;
pub use leader_term::LeaderTerm;
pub use log_position::LogPosition;
pub use monotonic_time::MonotonicTime;
pub use request_burst::RequestBurst;
pub use request_rate::RequestRate;
pub use route_priority::RoutePriority;
pub use unit_error::UnitError;
