use serde::{Deserialize, Serialize};

/// Why a target did not execute a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetFault {
    /// The target is overloaded. The statement has not run.
    Busy,
    /// The target has not applied the required position. The statement has not run.
    Behind,
    /// The target is not the primary. The statement has not run.
    NotPrimary,
    /// The target has no prepared statement of this name. The statement has not run.
    UnknownName,
    /// The server is another target or serves another service than expected. Nothing has run.
    Misrouted,
    /// The target has too many connections. Nothing has run.
    TooManyConnections,
    /// Any other error. The statement may have run.
    Other,
}

impl TargetFault {
    /// Returns whether the fault proves that the statement has not run.
    #[must_use]
    pub const fn proves_not_run(self) -> bool {
        !matches!(self, Self::Other)
    }
}
