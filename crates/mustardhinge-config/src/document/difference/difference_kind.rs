use std::fmt;

/// How a place in one document differs from the same place in another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DifferenceKind {
    /// It is only in the new one.
    Added,
    /// It is only in the old one.
    Removed,
    /// It is in both with different values.
    Changed,
}

impl fmt::Display for DifferenceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed => "changed",
        })
    }
}
