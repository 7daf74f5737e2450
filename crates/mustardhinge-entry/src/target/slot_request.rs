use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{CustomerWeight, WorkKind};

/// A request for a connection to a target.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Customer whose queue the request waits in.
    pub customer: CustomerId,
    /// Time by which the response is due.
    pub deadline: MonotonicTime,
    /// Priority of the request's route.
    pub priority: RoutePriority,
    /// Kind of the work, by which its cost is estimated.
    pub kind: WorkKind,
    /// Weight of the customer, or `None` if all routes of the service have the same priority: the
    /// request then waits in the queue without priorities.
    pub weight: Option<CustomerWeight>,
}
