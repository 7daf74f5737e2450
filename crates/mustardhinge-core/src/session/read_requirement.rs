use std::time::Duration;

use crate::units::LogPosition;

/// What a target has to hold so that a read may run there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRequirement {
    /// Everything up to this position.
    Floor(LogPosition),
    /// The floor of a round that begins after the read arrived.
    FreshFloor,
    /// Everything that was acknowledged this long ago.
    MaxAge(Duration),
    /// Everything up to the position, and everything that was acknowledged so
    /// long ago.
    FloorAndMaxAge(LogPosition, Duration),
}

impl ReadRequirement {
    /// Returns the requirement once the floor of its round is known.
    #[must_use]
    pub fn with_floor(self, floor: LogPosition) -> Self {
        match self {
            Self::FreshFloor => Self::Floor(floor),
            other => other,
        }
    }
}
