use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::placement::HomeRegions;
use mustardhinge_core::prelude::{CustomerId, RoutePriority};
use mustardhinge_core::queue::{CustomerWeight, WaitLimits, WorkKind};

/// A session's request for a lease of a target connection.
#[derive(Clone, Debug)]
pub struct ConnectionRequest {
    /// The session's customer.
    pub customer: CustomerId,
    /// The session number, used to prefer a connection that the session used before.
    pub session: u64,
    /// Maximum time to wait for a slot and a connection.
    pub wait: Duration,
    /// The priority of the statement.
    pub priority: RoutePriority,
    /// The kind of the statement, by which its cost is estimated.
    pub kind: WorkKind,
    /// The weight of the customer, or `None` without overload control: the request then waits in
    /// the fair queue without priorities.
    pub weight: Option<CustomerWeight>,
    /// The regions to which the statement is restricted, if it is.
    pub homes: Option<Rc<HomeRegions>>,
}

impl ConnectionRequest {
    /// Returns the longest expected wait with which the request is queued.
    #[must_use]
    pub fn max_expected_wait(&self) -> Duration {
        WaitLimits::max_expected_wait(self.wait)
    }
}
