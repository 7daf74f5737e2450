use std::time::Duration;

/// Time limits for a response of a target.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeouts {
    /// Time after which the target counts as unresponsive.
    pub unresponsive_after: Duration,
    /// Time after which the exchange fails with a timeout.
    pub limit: Duration,
    /// Time beyond which a response indicates an overloaded target, or `None` if the response time
    /// says nothing about load.
    pub slow_after: Option<Duration>,
    /// Kind of the request; a label of the latency metric.
    pub kind: &'static str,
}

impl ResponseTimeouts {
    /// Returns whether the request is a caller's statement, not one of the proxy's own.
    #[must_use]
    pub const fn is_callers_statement(&self) -> bool {
        self.slow_after.is_some()
    }
}
