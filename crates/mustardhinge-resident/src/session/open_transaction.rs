use std::rc::Rc;

use mustardhinge_core::primary_lease::GroupEpoch;

use crate::adapter::SessionRefusal;
use crate::plan::PlanRoute;
use crate::target::LinkLease;

/// A transaction that a caller has open.
#[derive(Debug)]
pub struct OpenTransaction {
    /// Whether it only reads.
    pub read_only: bool,
    /// The route as it was at its begin.
    pub route: Rc<PlanRoute>,
    /// The connection that it is bound to, from its first statement on.
    pub lease: Option<LinkLease>,
    /// The epoch of the primary that it runs at; none at a replica.
    pub epoch: Option<GroupEpoch>,
    /// Whether it has failed and waits for its end.
    pub is_failed: bool,
    /// Whether it wrote.
    pub has_written: bool,
}

impl OpenTransaction {
    /// Makes a transaction that has not reached a target yet.
    #[must_use]
    pub const fn new(read_only: bool, route: Rc<PlanRoute>) -> Self {
        Self {
            read_only,
            route,
            lease: None,
            epoch: None,
            is_failed: false,
            has_written: false,
        }
    }

    /// Returns what its caller is told if its commit gets no good answer.
    #[must_use]
    pub const fn lost_at_commit(&self) -> SessionRefusal {
        if self.has_written {
            SessionRefusal::Unknown
        } else {
            SessionRefusal::Aborted
        }
    }
}
