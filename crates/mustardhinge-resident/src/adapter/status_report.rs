use mustardhinge_core::prelude::{LeaderTerm, LogPosition};
use serde::{Deserialize, Serialize};

/// Role of a target in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// Accepts writes.
    Primary,
    /// Follows the primary.
    Replica,
}

/// Status reported by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// Its role.
    pub role: ServerRole,
    /// The highest term known to it.
    pub term: LeaderTerm,
    /// The last log position that it received.
    pub received: LogPosition,
}
