use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeCause {
    /// The instances that use it get no responses.
    Unreachable,
    /// It is leaving; its successor may catch up first.
    Leaving,
    /// A server other than the recorded primary is the primary.
    Displaced,
    /// Instances have stopped using its epoch on the order of an earlier leader. It may be kept, in a new
    /// epoch.
    Abandoned,
}

impl fmt::Display for ChangeCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "unreachable",
            Self::Leaving => "leaving",
            Self::Displaced => "displaced",
            Self::Abandoned => "abandoned",
        })
    }
}
