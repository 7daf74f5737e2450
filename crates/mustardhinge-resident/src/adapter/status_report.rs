use mustardhinge_core::prelude::{LeaderTerm, LogPosition};
use serde::{Deserialize, Serialize};

/// A target's role in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// It takes writes.
    Primary,
    /// It follows the primary.
    Replica,
}

/// What a target says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// Its role.
    pub role: ServerRole,
    /// The term that it knows.
    pub term: LeaderTerm,
    /// The last position that it received.
    pub received: LogPosition,
}
