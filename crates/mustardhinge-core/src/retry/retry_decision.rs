use crate::units::MonotonicTime;

use super::{RetryReason, RetryRefusal};

/// Whether a statement is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send it again at this time, at another target if there is one.
    RetryAt {
        /// When.
        at: MonotonicTime,
        /// Why, for the retry counter.
        reason: RetryReason,
    },
    /// End it now.
    GiveUp(RetryRefusal),
}
