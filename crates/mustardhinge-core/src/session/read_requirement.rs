use std::time::Duration;

use crate::units::LogPosition;

/// What a target must have applied before it may serve a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRequirement {
    /// All writes up to this position.
    Floor(LogPosition),
    /// All writes up to the floor determined by a round that starts after the read arrived.
    FreshFloor,
    /// All writes that were acknowledged at least this long ago.
    MaxAge(Duration),
    /// All writes up to this position, and all that were acknowledged at least this long
    /// ago.
    FloorAndMaxAge(LogPosition, Duration),
}

impl ReadRequirement {
    /// Returns the requirement with [`Self::FreshFloor`] replaced by the `floor` of its round.
    #[must_use]
    pub fn with_floor(self, floor: LogPosition) -> Self {
        match self {
            Self::FreshFloor => Self::Floor(floor),
            other => other,
        }
    }
}
