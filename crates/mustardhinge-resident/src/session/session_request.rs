use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mustardhinge_core::placement::HomeRegions;
use mustardhinge_core::prelude::{CustomerId, MonotonicTime, TargetId};
use mustardhinge_core::primary_lease::GroupEpoch;
use mustardhinge_core::queue::WorkKind;

use super::LastAttempt;
use crate::plan::PlanRoute;
use crate::target::{ConnectionRequest, ResponseTimeouts};

/// Minimum time before a target without a response counts as unresponsive; longer than nearly
/// all service times.
const MIN_UNRESPONSIVE_AFTER: Duration = Duration::from_millis(250);

/// Divisor of a route's objective that gives the time after which a response is slow. The rest
/// of the objective leaves room for a second attempt, or for the round trips of a few
/// statements in one transaction.
const SLOW_AFTER_DIVISOR: u32 = 3;

/// A caller's statement that needs a target.
#[derive(Clone, Debug)]
pub struct SessionRequest {
    /// Request id that the caller assigned.
    pub id: Bytes,
    /// Text of the statement.
    pub text: Bytes,
    /// Name of the prepared statement that it executes.
    pub name: Option<Bytes>,
    /// Whether the statement writes.
    pub writes: bool,
    /// Route of the statement.
    pub route: Rc<PlanRoute>,
    /// Customer of the caller.
    pub customer: CustomerId,
    /// The regions to which the statement is restricted, if it is.
    pub homes: Option<Rc<HomeRegions>>,
    /// Number of the session.
    pub session: u64,
    /// When the statement was received.
    pub received_at: MonotonicTime,
    /// Last attempt to run the statement.
    pub last_attempt: RefCell<Option<LastAttempt>>,
    /// Whether the request begins a transaction at a target.
    pub begins: Cell<bool>,
}

impl SessionRequest {
    /// Records an attempt to run the statement.
    pub fn record_attempt(
        &self,
        target: TargetId,
        epoch: Option<GroupEpoch>,
        sent_at: MonotonicTime,
    ) {
        *self.last_attempt.borrow_mut() = Some(LastAttempt {
            target,
            epoch,
            sent_at,
        });
    }

    /// Returns the time that remains until the statement timeout.
    #[must_use]
    pub fn time_left(&self, now: MonotonicTime) -> Duration {
        let elapsed = now.saturating_since(self.received_at);
        self.route.statement_timeout.saturating_sub(elapsed)
    }

    /// Returns how long the statement may still wait before it is sent, so that a response within
    /// the objective remains possible.
    #[must_use]
    pub fn wait_left(&self, now: MonotonicTime) -> Duration {
        let elapsed = now.saturating_since(self.received_at);
        let max_wait = self.route.objective.min(self.route.statement_timeout);
        max_wait.saturating_sub(elapsed)
    }

    /// Returns the requirements for a connection that runs the statement.
    #[must_use]
    pub fn connection_request(&self, now: MonotonicTime) -> ConnectionRequest {
        ConnectionRequest {
            customer: self.customer.clone(),
            session: self.session,
            wait: self.wait_left(now),
            priority: self.route.priority,
            kind: self.work_kind(),
            weight: None,
            homes: self.homes.clone(),
        }
    }

    const fn work_kind(&self) -> WorkKind {
        match (self.begins.get(), self.writes) {
            (true, _) => WorkKind::Begin,
            (false, true) => WorkKind::Write,
            (false, false) => WorkKind::Read,
        }
    }

    /// Returns how long the response may take from `now` on.
    #[must_use]
    pub fn response_timeouts(&self, now: MonotonicTime) -> ResponseTimeouts {
        let limit = self.time_left(now);
        ResponseTimeouts {
            unresponsive_after: (limit / 3).max(MIN_UNRESPONSIVE_AFTER),
            limit,
            slow_after: Some(self.route.objective / SLOW_AFTER_DIVISOR),
            kind: if self.writes { "write" } else { "read" },
        }
    }
}
