use std::rc::Rc;

use mustardhinge_core::prelude::CustomerId;
use mustardhinge_core::primary_lease::GroupEpoch;

use crate::adapter::SessionRefusal;
use crate::plan::PlanRoute;
use crate::target::TargetLease;

/// Open transaction of a caller.
#[derive(Debug)]
pub struct OpenTransaction {
    /// Whether the transaction is read-only.
    pub read_only: bool,
    /// Route at the time when the caller began the transaction.
    pub route: Rc<PlanRoute>,
    /// Customer of the caller's key at that time.
    pub customer: CustomerId,
    /// Connection that the transaction is bound to, from its first statement on.
    pub lease: Option<TargetLease>,
    /// Epoch of the primary that runs the transaction; `None` at a replica.
    pub epoch: Option<GroupEpoch>,
    /// Whether the transaction has failed and waits for its commit or rollback.
    pub is_failed: bool,
    /// Whether the transaction has written.
    pub has_written: bool,
}

impl OpenTransaction {
    /// Creates a transaction that has not begun at a target yet.
    #[must_use]
    pub const fn new(read_only: bool, route: Rc<PlanRoute>, customer: CustomerId) -> Self {
        Self {
            read_only,
            route,
            customer,
            lease: None,
            epoch: None,
            is_failed: false,
            has_written: false,
        }
    }

    /// Returns the refusal for the caller if the response to the commit is lost or not valid.
    #[must_use]
    pub const fn lost_refusal(&self) -> SessionRefusal {
        if self.has_written {
            SessionRefusal::Unknown
        } else {
            SessionRefusal::Aborted
        }
    }
}
