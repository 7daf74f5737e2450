use std::fmt;

/// The role of a target in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// Takes writes.
    Primary,
    /// Follows a primary.
    Replica,
    /// Granted a term and follows no primary yet.
    Fenced,
}

impl fmt::Display for MemberRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
            Self::Fenced => "fenced",
        })
    }
}
