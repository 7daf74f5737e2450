//! Numbered log events. `docs/EVENTS.md` is the catalogue for operators.

mod bounded_log;
mod catalogue;
mod line_limiter;
mod log_event;
mod log_output;
mod log_sample;

pub use bounded_log::start_bounded_log;
pub use catalogue::*;
pub use line_limiter::{LINES_PER_SECOND, LineLimiter, LineVerdict};
pub use log_event::LogEvent;
pub use log_output::start_log;
pub use log_sample::LogSample;
