use crate::ids::TargetId;

use super::FailoverCause;

/// What an attempt sets out to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AttemptPlan {
    /// Why it is begun.
    pub(super) cause: FailoverCause,
    /// The primary before.
    pub(super) predecessor: Option<TargetId>,
    /// The server that should become the primary, if it can.
    pub(super) preferred: Option<TargetId>,
    /// The servers that should not become the primary, if another can.
    pub(super) avoided: Vec<TargetId>,
}

impl AttemptPlan {
    /// Returns whether a server is what the plan asks for.
    pub(super) fn is_preferred(&self, target: &TargetId) -> bool {
        match &self.preferred {
            Some(preferred) => preferred == target,
            None => !self.avoided.contains(target),
        }
    }

    /// Returns whether an operator waits for the outcome.
    pub(super) fn is_switchover(&self) -> bool {
        self.cause == FailoverCause::Switchover
    }
}
