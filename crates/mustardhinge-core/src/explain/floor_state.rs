use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known of the log position that a read requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FloorState {
    /// The request runs at the primary, which has all writes.
    NotNeeded,
    /// A position that is recent enough is known.
    Known,
    /// No position that is recent enough is known.
    Unknown,
}

impl fmt::Display for FloorState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::NotNeeded => "not_needed",
            Self::Known => "known",
            Self::Unknown => "unknown",
        })
    }
}
