use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::prelude::*;

use crate::control::ServiceRuntime;

/// What the parts of one request's run share.
#[derive(Clone, Debug)]
pub(super) struct RunContext {
    /// The service, as it stood when the request was admitted.
    pub(super) service: Arc<ServiceRuntime>,
    /// The customer in whose lane the request waits.
    pub(super) customer: CustomerId,
    /// When the request must have got its answer.
    pub(super) deadline: MonotonicTime,
    /// The age that the route allows, if any.
    pub(super) max_age: Option<Duration>,
    /// Whether the route says that a statement may be sent again.
    pub(super) is_repeatable: bool,
}

impl RunContext {
    /// Returns the time left.
    pub(super) fn time_left(&self, now: MonotonicTime) -> Duration {
        self.deadline.saturating_since(now)
    }
}
