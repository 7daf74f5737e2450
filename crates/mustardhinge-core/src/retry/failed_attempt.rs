use crate::units::MonotonicTime;

use super::RetryReason;

/// An attempt at a statement that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The number of the attempt, counted from 1.
    pub attempt: u32,
    /// Why it failed.
    pub reason: RetryReason,
    /// Whether the statement may run twice.
    pub is_repeatable: bool,
    /// When the caller must have its answer.
    pub deadline: MonotonicTime,
}
