use std::time::Duration;

/// Limits of an instance that can change at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeLimits {
    /// Maximum number of concurrent caller sessions.
    pub max_callers: usize,
    /// Time limit of a planned stop, after which the process is killed.
    pub stop_grace: Duration,
}

impl Default for NodeLimits {
    /// Returns limits for a small instance and the usual time of a planned stop.
    fn default() -> Self {
        Self {
            max_callers: 1_000,
            stop_grace: Duration::from_secs(6),
        }
    }
}
