use std::time::Duration;

/// How long an answer may take.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeouts {
    /// After this time the target counts as silent.
    pub unresponsive_after: Duration,
    /// After this time the answer is given up.
    pub limit: Duration,
    /// Up to this time an answer is well; a longer one says that the target is too busy.
    /// None where the time says nothing about that.
    pub slow_after: Option<Duration>,
    /// What is asked, for the metrics.
    pub kind: &'static str,
}
