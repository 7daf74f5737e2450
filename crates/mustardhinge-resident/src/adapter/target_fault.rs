use serde::{Deserialize, Serialize};

/// Why a target did not carry out a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetFault {
    /// It has too much to do; the statement has not run.
    Busy,
    /// It lacks the position asked for; the statement has not run.
    Behind,
    /// It is not the primary; the statement has not run.
    NotPrimary,
    /// It doesn't know the prepared name; the statement has not run.
    UnknownName,
    /// It is another server or service than expected; nothing has run.
    Misrouted,
    /// It has too many connections; nothing has run.
    TooManyConnections,
    /// Anything else: the statement may have run.
    Other,
}

impl TargetFault {
    /// Returns whether the statement has certainly not run.
    #[must_use]
    pub const fn proves_not_run(self) -> bool {
        !matches!(self, Self::Other)
    }
}
