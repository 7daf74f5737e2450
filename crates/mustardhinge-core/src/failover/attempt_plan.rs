use crate::ids::TargetId;
use crate::units::LeaderTerm;

use super::FailoverCause;

/// What an attempt sets out to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AttemptPlan {
    /// The term to begin.
    pub(super) term: LeaderTerm,
    /// Why it is begun.
    pub(super) cause: FailoverCause,
    /// The primary before, or the server whose promotion has just failed.
    pub(super) predecessor: Option<TargetId>,
    /// The server that should become the primary, if it can.
    pub(super) preferred: Option<TargetId>,
}

impl AttemptPlan {
    /// Returns the server that should not become the primary, if another can.
    pub(super) fn avoided(&self) -> Option<&TargetId> {
        let predecessor = self.predecessor.as_ref();
        predecessor.filter(|target| self.preferred.as_ref() != Some(*target))
    }

    /// Returns whether the change is planned, with the primary at work.
    pub(super) fn is_switchover(&self) -> bool {
        self.cause == FailoverCause::Switchover
    }
}
