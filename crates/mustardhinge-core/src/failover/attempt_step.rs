use crate::ids::TargetId;
use crate::units::MonotonicTime;

use super::{FailoverPhase, FenceTally};

/// The step that an attempt is in.
#[derive(Clone, Debug)]
pub(super) enum AttemptStep {
    /// The claim is with the store.
    Claiming,
    /// Writes are held; `drained_at` is when the last of them ended.
    Draining { drained_at: Option<MonotonicTime> },
    /// The servers have been asked for the term.
    Fencing {
        tally: FenceTally,
        granted_at: Option<MonotonicTime>,
    },
    /// The server has been asked to be the primary.
    Promoting { target: TargetId },
}

impl AttemptStep {
    /// Returns the phase to show.
    pub(super) fn phase(&self) -> FailoverPhase {
        match self {
            Self::Claiming => FailoverPhase::Claiming,
            Self::Draining { .. } => FailoverPhase::Draining,
            Self::Fencing { .. } => FailoverPhase::Fencing,
            Self::Promoting { .. } => FailoverPhase::Promoting,
        }
    }
}
