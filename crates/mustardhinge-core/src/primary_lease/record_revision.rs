use std::fmt;

use serde::{Deserialize, Serialize};

use super::StoreEra;

/// The revision of a record in the platform's store; each change increases it.
///
/// A restored store issues the same numbers again, so revisions order by era first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RecordRevision {
    era: StoreEra,
    number: u64,
}

impl RecordRevision {
    /// Creates the revision with a number that the store issued in `era`.
    #[must_use]
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the era in which the store issued the number.
    #[must_use]
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// Returns the number, which is meaningful only within its era.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.number
    }
}

impl fmt::Display for RecordRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
