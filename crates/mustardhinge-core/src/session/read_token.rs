use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::units::{LogPosition, UnitError};

/// The position of a session's last acknowledged write, which the caller hands
/// on from instance to instance.
///
/// The text form is that of the position; `0/0` stands for a session that has
/// written nothing.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct ReadToken(LogPosition);

impl ReadToken {
    /// Makes a token from a position.
    #[must_use]
    pub const fn new(position: LogPosition) -> Self {
        Self(position)
    }

    /// Returns the position.
    #[must_use]
    pub const fn position(self) -> LogPosition {
        self.0
    }
}

impl fmt::Display for ReadToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ReadToken {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.parse().map(Self)
    }
}
