use std::fmt;

use serde::{Deserialize, Serialize};

/// State of the instance's lease on a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// The primary may be used.
    Valid,
    /// New work at the primary is stopped, since it is being replaced.
    Closing,
    /// The epoch is over.
    Stopped,
    /// The lease has expired.
    Expired,
    /// No leader has granted a lease to this process yet.
    Unknown,
}

impl fmt::Display for LeaseState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Valid => "valid",
            Self::Closing => "closing",
            Self::Stopped => "stopped",
            Self::Expired => "expired",
            Self::Unknown => "unknown",
        })
    }
}
