//! Startup and authentication of callers.

mod caller_key;
mod startup_parameters;
mod startup_phase;

pub use caller_key::CallerKey;
pub use startup_parameters::StartupParameters;
pub(crate) use startup_parameters::unknown_service;
pub use startup_phase::{StartupOutcome, StartupPhase};
pub(crate) use startup_phase::{protocol_error, read_parameters};
