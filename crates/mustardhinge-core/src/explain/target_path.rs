use std::fmt;

use serde::{Deserialize, Serialize};

/// How the request would reach its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPath {
    /// Through a gateway of the target.
    Gateway,
    /// Over a connection of this instance.
    Direct,
}

impl fmt::Display for TargetPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Gateway => "gateway",
            Self::Direct => "direct",
        })
    }
}
