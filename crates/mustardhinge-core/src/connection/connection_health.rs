use crate::units::MonotonicTime;

use super::{HealthSettings, ReuseVerdict, TimeoutAction};

/// The health of one connection to a target.
///
/// A connection carries one request at a time. Once an answer is overdue the
/// connection can only be closed, so that a late answer meets no other request.
#[derive(Clone, Debug)]
pub struct ConnectionHealth {
    settings: HealthSettings,
    state: ConnectionState,
    last_response_at: MonotonicTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Opening { until: MonotonicTime },
    Idle,
    AwaitingResponse { until: MonotonicTime },
    Closed,
}

impl ConnectionHealth {
    /// Makes the health of a connection that begins to open.
    #[must_use]
    pub fn new(settings: HealthSettings, now: MonotonicTime) -> Self {
        let until = now + settings.get_open_timeout();
        Self {
            settings,
            state: ConnectionState::Opening { until },
            last_response_at: now,
        }
    }

    /// Notes that a request was sent whose answer is due by `deadline`, or by
    /// the bound of the settings if that is sooner.
    ///
    /// Returns whether it may be sent; if not, the connection is in use or
    /// closed and nothing may go out on it.
    pub fn start_request(&mut self, deadline: MonotonicTime, now: MonotonicTime) -> bool {
        let bound = now + self.settings.get_response_timeout();
        self.await_response(deadline.min(bound))
    }

    /// Notes that a proof was sent; returns whether it may be, as `send` does.
    pub fn start_validation(&mut self, now: MonotonicTime) -> bool {
        self.await_response(now + self.settings.get_validation_timeout())
    }

    /// Notes the whole answer: the connection is open and clean. An answer
    /// that came when it was overdue closes the connection.
    ///
    /// Returns whether the answer may be given to the request.
    pub fn complete(&mut self, now: MonotonicTime) -> bool {
        let until = match self.state {
            ConnectionState::Opening { until } | ConnectionState::AwaitingResponse { until } => {
                until
            }
            ConnectionState::Idle | ConnectionState::Closed => {
                self.state = ConnectionState::Closed;
                return false;
            }
        };
        if now >= until {
            self.state = ConnectionState::Closed;
            return false;
        }
        self.last_response_at = now;
        self.state = ConnectionState::Idle;
        true
    }

    /// Notes that the connection broke, or was left in the middle of a
    /// transaction or an answer.
    pub fn close(&mut self) {
        self.state = ConnectionState::Closed;
    }

    /// Returns what to do about an answer that is owed.
    pub fn check_timeout(&mut self, now: MonotonicTime) -> TimeoutAction {
        match self.state {
            ConnectionState::Opening { until } | ConnectionState::AwaitingResponse { until }
                if now < until =>
            {
                TimeoutAction::WaitUntil(until)
            }
            ConnectionState::Idle => {
                TimeoutAction::WaitUntil(self.last_response_at + self.settings.get_idle_limit())
            }
            _ => {
                self.state = ConnectionState::Closed;
                TimeoutAction::Close
            }
        }
    }

    /// Returns whether the connection may carry a new request.
    #[must_use]
    pub fn check_reuse(&self, now: MonotonicTime) -> ReuseVerdict {
        if self.state != ConnectionState::Idle {
            return ReuseVerdict::Unusable;
        }
        let idle = now.saturating_since(self.last_response_at);
        if idle >= self.settings.get_idle_limit() {
            ReuseVerdict::ValidateFirst
        } else {
            ReuseVerdict::Ready
        }
    }

    fn await_response(&mut self, until: MonotonicTime) -> bool {
        if self.state != ConnectionState::Idle {
            return false;
        }
        self.state = ConnectionState::AwaitingResponse { until };
        true
    }
}
