//! Startup and authentication of callers.

mod caller_hello;
mod caller_key;
mod startup_phase;

pub use caller_hello::CallerHello;
pub(crate) use caller_hello::unknown_service;
pub use caller_key::CallerKey;
pub use startup_phase::{StartupOutcome, StartupPhase};
pub(crate) use startup_phase::{protocol_error, read_hello};
