use std::time::Duration;

/// Circumstances of one read that affect where it is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadLimits {
    /// How long the read may wait so that it can still be answered within its objective.
    pub max_wait: Duration,
    /// The number of instances that send to the same targets, including this one.
    pub senders: usize,
}
