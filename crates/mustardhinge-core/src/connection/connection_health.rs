use crate::units::MonotonicTime;

use super::{AnswerVerdict, HealthSettings, ReuseVerdict};

/// The health of one connection to a target.
///
/// A connection carries one request at a time. Once an answer is overdue the
/// connection can only be closed, so that a late answer meets no other request.
#[derive(Clone, Debug)]
pub struct ConnectionHealth {
    settings: HealthSettings,
    state: ConnectionState,
    answered_at: MonotonicTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Opening { until: MonotonicTime },
    Idle,
    Owing { until: MonotonicTime },
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
            answered_at: now,
        }
    }

    /// Notes that a request was sent whose answer is due by `deadline`, or by
    /// the bound of the settings if that is sooner.
    ///
    /// Returns whether it may be sent; if not, the connection is in use or
    /// closed and nothing may go out on it.
    pub fn send(&mut self, deadline: MonotonicTime, now: MonotonicTime) -> bool {
        let bound = now + self.settings.get_answer_timeout();
        self.owe(deadline.min(bound))
    }

    /// Notes that a proof was sent; returns whether it may be, as `send` does.
    pub fn prove(&mut self, now: MonotonicTime) -> bool {
        self.owe(now + self.settings.get_proof_timeout())
    }

    /// Notes the whole answer: the connection is open and clean. An answer
    /// that came when it was overdue closes the connection.
    ///
    /// Returns whether the answer may be given to the request.
    pub fn complete(&mut self, now: MonotonicTime) -> bool {
        let until = match self.state {
            ConnectionState::Opening { until } | ConnectionState::Owing { until } => until,
            ConnectionState::Idle | ConnectionState::Closed => {
                self.state = ConnectionState::Closed;
                return false;
            }
        };
        if now >= until {
            self.state = ConnectionState::Closed;
            return false;
        }
        self.answered_at = now;
        self.state = ConnectionState::Idle;
        true
    }

    /// Notes that the connection broke, or was left in the middle of a
    /// transaction or an answer.
    pub fn close(&mut self) {
        self.state = ConnectionState::Closed;
    }

    /// Returns what to do about an answer that is owed.
    pub fn check(&mut self, now: MonotonicTime) -> AnswerVerdict {
        match self.state {
            ConnectionState::Opening { until } | ConnectionState::Owing { until }
                if now < until =>
            {
                AnswerVerdict::WaitUntil(until)
            }
            ConnectionState::Idle => {
                AnswerVerdict::WaitUntil(self.answered_at + self.settings.get_idle_limit())
            }
            _ => {
                self.state = ConnectionState::Closed;
                AnswerVerdict::Close
            }
        }
    }

    /// Returns whether the connection may carry a new request.
    #[must_use]
    pub fn reuse(&self, now: MonotonicTime) -> ReuseVerdict {
        if self.state != ConnectionState::Idle {
            return ReuseVerdict::Unusable;
        }
        let idle = now.saturating_since(self.answered_at);
        if idle >= self.settings.get_idle_limit() {
            ReuseVerdict::ProveFirst
        } else {
            ReuseVerdict::Ready
        }
    }

    fn owe(&mut self, until: MonotonicTime) -> bool {
        if self.state != ConnectionState::Idle {
            return false;
        }
        self.state = ConnectionState::Owing { until };
        true
    }
}
