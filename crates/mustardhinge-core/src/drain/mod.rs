//! Graceful shutdown: an instance drains its sessions without interrupting a request.

mod drain_cause;
mod drain_state;
mod drain_step;

pub use drain_cause::DrainCause;
pub use drain_state::DrainState;
pub use drain_step::DrainStep;
