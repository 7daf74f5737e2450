use crate::ids::TargetId;

use super::SwitchoverRefusal;

/// What came of looking at an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AttemptProgress {
    /// It goes on.
    Continue,
    /// The server is the primary of the attempt's term.
    Promoted(TargetId),
    /// It ended without a primary, and another agent may be at work.
    Abandoned(SwitchoverRefusal),
    /// It ended since the server to promote failed; a new term is to be begun
    /// at once.
    CandidateFailed(TargetId),
}

impl AttemptProgress {
    /// Returns the reason to give to the operator who asked for a switchover.
    pub(super) fn refusal(&self) -> Option<SwitchoverRefusal> {
        match self {
            Self::Continue | Self::Promoted(_) => None,
            Self::Abandoned(refusal) => Some(*refusal),
            Self::CandidateFailed(_) => Some(SwitchoverRefusal::Interrupted),
        }
    }
}
