use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mustardhinge_core::prelude::{CustomerId, MonotonicTime, TargetId};
use mustardhinge_core::primary_lease::GroupEpoch;

use super::RequestSent;
use crate::plan::PlanRoute;
use crate::target::{ConnectionRequest, ResponseTimeouts};

/// Least time before a silent target is doubted: longer than nearly all service times.
const LEAST_SILENCE: Duration = Duration::from_millis(250);

/// Part of a route's objective that an answer may take: a second try, or the way of a few
/// statements in one transaction, should fit as well.
const PATIENCE_PARTS: u32 = 3;

/// A statement that needs a target.
#[derive(Clone, Debug)]
pub struct SessionRequest {
    /// The caller's id of the request.
    pub id: Bytes,
    /// The text.
    pub text: Bytes,
    /// The prepared name that it runs.
    pub name: Option<Bytes>,
    /// Whether it writes.
    pub writes: bool,
    /// The route that it takes.
    pub route: Rc<PlanRoute>,
    /// The customer whose it is.
    pub customer: CustomerId,
    /// The session whose it is.
    pub session: u64,
    /// When it came.
    pub came_at: MonotonicTime,
    /// Where it was sent last.
    pub sent: RefCell<Option<RequestSent>>,
}

impl SessionRequest {
    /// Notes where it is sent.
    pub fn note_sent(&self, target: TargetId, epoch: Option<GroupEpoch>, at: MonotonicTime) {
        *self.sent.borrow_mut() = Some(RequestSent { target, epoch, at });
    }

    /// Returns the time left for it.
    #[must_use]
    pub fn time_left(&self, now: MonotonicTime) -> Duration {
        let used = now.saturating_since(self.came_at);
        self.route.statement_timeout.saturating_sub(used)
    }

    /// Returns how long it may wait before it is sent: an answer that comes within the
    /// objective should still be possible.
    #[must_use]
    pub fn wait_left(&self, now: MonotonicTime) -> Duration {
        let used = now.saturating_since(self.came_at);
        let most = self.route.objective.min(self.route.statement_timeout);
        most.saturating_sub(used)
    }

    /// Returns what it needs a connection for.
    #[must_use]
    pub fn link_need(&self, now: MonotonicTime) -> ConnectionRequest {
        ConnectionRequest {
            customer: self.customer.clone(),
            session: self.session,
            wait: self.wait_left(now),
        }
    }

    /// Returns how long its answer may take.
    #[must_use]
    pub fn answer_time(&self, now: MonotonicTime) -> ResponseTimeouts {
        let limit = self.time_left(now);
        ResponseTimeouts {
            unresponsive_after: (limit / 3).max(LEAST_SILENCE),
            limit,
            slow_after: Some(self.route.objective / PATIENCE_PARTS),
            kind: if self.writes { "write" } else { "read" },
        }
    }
}
