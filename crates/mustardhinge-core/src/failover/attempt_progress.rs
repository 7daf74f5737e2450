use crate::ids::TargetId;

use super::SwitchoverRefusal;

/// The state of an election attempt after an event or a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AttemptProgress {
    /// The attempt is still running.
    Continue,
    /// The server has become the primary in the attempt's term.
    Promoted(TargetId),
    /// The attempt ended without a primary; another agent may be running one.
    Abandoned(SwitchoverRefusal),
    /// The attempt ended because the candidate failed; a new term starts
    /// immediately.
    CandidateFailed(TargetId),
}

impl AttemptProgress {
    /// Returns the reason to report to the operator who requested a switchover.
    pub(super) fn refusal(&self) -> Option<SwitchoverRefusal> {
        match self {
            Self::Continue | Self::Promoted(_) => None,
            Self::Abandoned(refusal) => Some(*refusal),
            Self::CandidateFailed(_) => Some(SwitchoverRefusal::Interrupted),
        }
    }
}
