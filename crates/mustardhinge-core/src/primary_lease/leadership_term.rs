use std::fmt;

/// Number of a leadership that an instance has held, unique within its process.
///
/// Renewals of the record continue a leadership, however late they are: no other instance can have
/// claimed it in between. So does a claim that replaces a lost record, as long as the instance kept
/// its rights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeadershipTerm(u64);

impl LeadershipTerm {
    /// Returns the number of the next leadership.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for LeadershipTerm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
