use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use super::{LeaderTerm, UnitError};

/// A position in a group's log: the term and the offset of a log entry.
///
/// The positions of one group are totally ordered, first by term, then by offset. The text
/// form is `term/offset`.
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
pub struct LogPosition {
    /// The term in which the entry was written.
    pub term: LeaderTerm,
    /// The index of the entry in the log, starting at 1.
    pub offset: u64,
}

impl LogPosition {
    /// Creates a position from its term and offset.
    #[must_use]
    pub const fn new(term: LeaderTerm, offset: u64) -> Self {
        Self { term, offset }
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.offset)
    }
}

impl FromStr for LogPosition {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let malformed = || UnitError::new(text, "a log position such as 3/1042");
        let (term, offset) = text.split_once('/').ok_or_else(malformed)?;
        Ok(Self {
            term: term.parse().map_err(|_| malformed())?,
            offset: offset.parse().map_err(|_| malformed())?,
        })
    }
}
