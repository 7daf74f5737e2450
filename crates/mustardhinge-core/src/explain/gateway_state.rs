use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether an instance can use a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GatewayState {
    /// The instance itself is this gateway.
    Own,
    /// Statements are forwarded to it.
    Usable,
    /// It is unreachable, unresponsive, stopping, or has too many pending statements.
    Unusable,
    /// The instance has not connected to it yet; it counts as usable.
    Unused,
    /// The text of the request must not be sent to its region.
    OutsideHome,
}

impl fmt::Display for GatewayState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Own => "own",
            Self::Usable => "usable",
            Self::Unusable => "unusable",
            Self::Unused => "unused",
            Self::OutsideHome => "outside_home",
        })
    }
}
