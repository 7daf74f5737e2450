use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::units::{LogPosition, UnitError};

/// The log position of a session's last acknowledged write.
///
/// The caller carries the token from one instance to the next. The text form is that of
/// the position; `0/0` is the token of a session without writes.
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
    /// Creates a token from a log position.
    #[must_use]
    pub const fn new(position: LogPosition) -> Self {
        Self(position)
    }

    /// Returns the log position.
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
