use mustardhinge_core::prelude::{MonotonicTime, TargetId};
use mustardhinge_core::primary_lease::GroupEpoch;

/// Where a statement went last.
#[derive(Clone, Debug)]
pub struct LastAttempt {
    /// The target.
    pub target: TargetId,
    /// The epoch whose lease has to hold until the answer; none where a floor is enough.
    pub epoch: Option<GroupEpoch>,
    /// When it was sent.
    pub sent_at: MonotonicTime,
}
