use crate::ids::TargetId;

use super::FailoverCause;

/// The goal of an election attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AttemptPlan {
    /// The cause of the attempt.
    pub(super) cause: FailoverCause,
    /// The previous primary.
    pub(super) predecessor: Option<TargetId>,
    /// The server to promote if that is safe.
    pub(super) preferred: Option<TargetId>,
    /// The servers to promote only if no other server qualifies.
    pub(super) avoided: Vec<TargetId>,
}

impl AttemptPlan {
    /// Returns whether the plan prefers the server as the new primary.
    pub(super) fn is_preferred(&self, target: &TargetId) -> bool {
        match &self.preferred {
            Some(preferred) => preferred == target,
            None => !self.avoided.contains(target),
        }
    }

    /// Returns whether an operator requested the attempt and waits for its outcome.
    pub(super) fn is_switchover(&self) -> bool {
        self.cause == FailoverCause::Switchover
    }
}
