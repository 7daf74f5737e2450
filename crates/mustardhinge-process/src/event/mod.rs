//! Numbered log events; the catalogue for operators is `docs/EVENTS.md`.

mod catalogue;
mod log_event;
mod log_output;

pub use catalogue::*;
pub use log_event::LogEvent;
pub use log_output::start_log;
