use crate::ids::TargetId;
use crate::units::MonotonicTime;

use super::{FailoverPhase, FenceTally};

/// The current step of an election attempt.
#[derive(Clone, Debug)]
pub(super) enum AttemptStep {
    /// The claim of the term has been sent to the store.
    Claiming,
    /// New writes are held; `drained_at` is when the last in-flight write ended.
    Draining { drained_at: Option<MonotonicTime> },
    /// Fence requests for the term have been sent to the servers.
    Fencing {
        tally: FenceTally,
        granted_at: Option<MonotonicTime>,
    },
    /// A promote request has been sent to the server.
    Promoting { target: TargetId },
}

impl AttemptStep {
    /// Returns the corresponding phase for status pages.
    pub(super) fn phase(&self) -> FailoverPhase {
        match self {
            Self::Claiming => FailoverPhase::Claiming,
            Self::Draining { .. } => FailoverPhase::Draining,
            Self::Fencing { .. } => FailoverPhase::Fencing,
            Self::Promoting { .. } => FailoverPhase::Promoting,
        }
    }
}
