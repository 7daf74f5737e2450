//! Planned stops: an instance drains its sessions and exits without cutting a request.

mod drain_cause;
mod drain_state;
mod drain_step;

pub use drain_cause::DrainCause;
pub use drain_state::DrainState;
pub use drain_step::DrainStep;
