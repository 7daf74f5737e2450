use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::TargetEntry;

/// A database group and its servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupEntry {
    /// The name of the group.
    pub name: GroupId,
    /// The servers; an odd number, so that a majority is clear.
    #[serde(rename = "target")]
    pub targets: Vec<TargetEntry>,
}
