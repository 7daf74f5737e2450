use std::fmt;

/// Whether a server is known to have every acknowledged commit of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitCheck {
    /// It has every acknowledged commit.
    Complete,
    /// Another replica has received more of the log.
    Behind,
    /// So many replicas have not reported their position that they may have commits that it lacks.
    Unknown(usize),
}

impl fmt::Display for CommitCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Complete => f.write_str("complete"),
            Self::Behind => f.write_str("behind"),
            Self::Unknown(_) => f.write_str("unknown"),
        }
    }
}
