use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::prelude::*;

use crate::control::ServiceRuntime;

/// State shared by all attempts to run one request.
#[derive(Clone, Debug)]
pub(super) struct RunContext {
    /// Configuration of the service at the time of admission.
    pub(super) service: Arc<ServiceRuntime>,
    /// Customer whose queue the request waits in.
    pub(super) customer: CustomerId,
    /// Time by which the response is due.
    pub(super) deadline: MonotonicTime,
    /// Maximum age of the rows read, if the route allows stale reads.
    pub(super) max_age: Option<Duration>,
    /// Whether the route declares its statements safe to repeat.
    pub(super) is_repeatable: bool,
}

impl RunContext {
    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self, now: MonotonicTime) -> Duration {
        self.deadline.saturating_since(now)
    }
}
