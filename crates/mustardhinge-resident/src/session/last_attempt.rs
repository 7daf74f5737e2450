use mustardhinge_core::prelude::{MonotonicTime, TargetId};
use mustardhinge_core::primary_lease::GroupEpoch;

/// Last attempt to run a statement.
#[derive(Clone, Debug)]
pub struct LastAttempt {
    /// Target of the attempt.
    pub target: TargetId,
    /// Epoch whose primary lease must be valid until the response arrives; `None` if a floor is
    /// sufficient.
    pub epoch: Option<GroupEpoch>,
    /// When the statement was sent.
    pub sent_at: MonotonicTime,
}
