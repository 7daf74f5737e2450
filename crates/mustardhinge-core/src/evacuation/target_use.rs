use std::fmt;
use std::time::Duration;

use crate::units::MonotonicTime;

/// Time for which the primaries of an evacuated zone may still be used while they are handed over.
/// A zone has to be free 5 s after the store acknowledged its evacuation, and an instance may learn
/// of it from its relay 2 s after that.
const HANDOVER_TIME: Duration = Duration::from_millis(3_000);

/// Whether statements may be sent to a target, with regard to evacuated zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetUse {
    /// Its zone isn't evacuated.
    #[default]
    Usable,
    /// Its zone is being evacuated: other targets take its reads, and its group's leader hands
    /// over if it is a primary. It is used only where no other target can run a statement.
    Vacating,
    /// Nothing is sent to it.
    Evacuated,
}

impl TargetUse {
    /// Returns the use of a target whose zone is known to be evacuated `since` a time, or isn't
    /// evacuated.
    #[must_use]
    pub fn at(since: Option<MonotonicTime>, now: MonotonicTime) -> Self {
        match since {
            None => Self::Usable,
            Some(since) if now.saturating_since(since) < HANDOVER_TIME => Self::Vacating,
            Some(_) => Self::Evacuated,
        }
    }

    /// Returns the time from which nothing is sent to a target whose zone is evacuated `since` a
    /// time.
    #[must_use]
    pub fn evacuated_from(since: MonotonicTime) -> MonotonicTime {
        since + HANDOVER_TIME
    }

    /// Returns whether new work prefers other targets.
    #[must_use]
    pub const fn is_restricted(self) -> bool {
        !matches!(self, Self::Usable)
    }

    /// Returns whether nothing may be sent to the target.
    #[must_use]
    pub const fn is_evacuated(self) -> bool {
        matches!(self, Self::Evacuated)
    }
}

impl fmt::Display for TargetUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Usable => "usable",
            Self::Vacating => "vacating",
            Self::Evacuated => "evacuated",
        })
    }
}
