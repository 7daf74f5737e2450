//! Code shared by all processes: command line, numbered log events, metrics endpoint, clocks
//! and stop signal.

pub mod args;
pub mod event;

mod boot_clock;
mod metrics_endpoint;
mod process_clock;
mod stop_signal;

pub use boot_clock::BootClock;
pub use metrics_endpoint::serve_metrics;
pub use process_clock::ProcessClock;
pub use stop_signal::{StopSignal, wait_for_stop};
