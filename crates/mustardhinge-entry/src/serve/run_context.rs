use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::WorkKind;

use crate::control::ServiceRuntime;
use crate::target::SlotRequest;

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
    /// Priority of the route.
    pub(super) priority: RoutePriority,
    /// Whether the route declares its statements safe to repeat.
    pub(super) is_repeatable: bool,
}

impl RunContext {
    /// Returns the request for a connection to a target.
    pub(super) fn slot_request(&self, kind: WorkKind) -> SlotRequest {
        SlotRequest {
            weight: self.service.weights().weight_of(&self.customer),
            customer: self.customer.clone(),
            deadline: self.deadline,
            priority: self.priority,
            kind,
        }
    }

    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self, now: MonotonicTime) -> Duration {
        self.deadline.saturating_since(now)
    }
}
