use crate::units::MonotonicTime;

use super::{HealthSettings, ReuseVerdict, TimeoutAction};

/// Tracks the health of one connection to a target.
///
/// A connection carries one request at a time. Once a response is overdue, the
/// connection can only be closed, because the late response could be taken for
/// the response to a later request.
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
    /// Starts tracking a connection that is being opened.
    #[must_use]
    pub fn new(settings: HealthSettings, now: MonotonicTime) -> Self {
        let until = now + settings.get_open_timeout();
        Self {
            settings,
            state: ConnectionState::Opening { until },
            last_response_at: now,
        }
    }

    /// Records that a request is sent, with a response due by `deadline` or
    /// within the configured response timeout, whichever is sooner.
    ///
    /// Returns `false` if the connection is in use or closed; the request must
    /// then not be sent.
    pub fn start_request(&mut self, deadline: MonotonicTime, now: MonotonicTime) -> bool {
        let bound = now + self.settings.get_response_timeout();
        self.await_response(deadline.min(bound))
    }

    /// Records that a validation request is sent.
    ///
    /// Returns `false` if it must not be sent, as [`start_request`](Self::start_request) does.
    pub fn start_validation(&mut self, now: MonotonicTime) -> bool {
        self.await_response(now + self.settings.get_validation_timeout())
    }

    /// Records that opening has finished or that a complete response was received.
    ///
    /// An overdue or unsolicited response closes the connection.
    ///
    /// Returns whether the response may be passed on to the request.
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

    /// Marks the connection as closed: it failed, or was abandoned in the middle
    /// of a transaction or a response.
    pub fn close(&mut self) {
        self.state = ConnectionState::Closed;
    }

    /// Checks the current timeout; closes a connection that has exceeded it while
    /// opening or awaiting a response.
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

    /// Checks whether the connection can carry a new request.
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
