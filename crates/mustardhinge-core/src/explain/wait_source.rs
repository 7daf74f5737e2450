use std::fmt;

use serde::{Deserialize, Serialize};

/// Origin of the expected waits at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitSource {
    /// The last report of the target's gateway.
    GatewayReport,
    /// The instance's own queue in front of the target.
    OwnQueue,
    /// The gateway has not reported yet.
    Unknown,
}

impl fmt::Display for WaitSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::GatewayReport => "gateway_report",
            Self::OwnQueue => "own_queue",
            Self::Unknown => "unknown",
        })
    }
}
