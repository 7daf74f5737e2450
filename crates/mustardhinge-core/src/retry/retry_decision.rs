use crate::units::MonotonicTime;

use super::{RetryReason, RetryRefusal};

/// The decision whether a failed statement is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at this time, at another target if there is one.
    RetryAt {
        /// The time of the retry.
        at: MonotonicTime,
        /// The reason, for the retry counter.
        reason: RetryReason,
    },
    /// Return the failure to the caller without a further attempt.
    GiveUp(RetryRefusal),
}
