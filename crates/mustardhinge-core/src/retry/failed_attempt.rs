use crate::units::MonotonicTime;

use super::RetryReason;

/// A failed attempt to run a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The number of the attempt, starting at 1.
    pub attempt: u32,
    /// Why the attempt failed.
    pub reason: RetryReason,
    /// Whether it is safe to run the statement twice.
    pub is_repeatable: bool,
    /// The time by which the caller needs the response.
    pub deadline: MonotonicTime,
}
