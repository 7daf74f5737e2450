use serde::{Deserialize, Serialize};

use super::FloorState;

/// The log position that a read requires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloorReport {
    /// Whether the position is known.
    pub state: FloorState,
    /// The position that the target must have applied.
    pub position: Option<String>,
    /// Age of the newest known position.
    pub newest_age_ms: Option<u64>,
    /// Maximum age of a position that is recent enough for the read.
    pub max_age_ms: Option<u64>,
    /// What follows for the request.
    pub effect: String,
}
