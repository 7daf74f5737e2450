use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Asks another watcher of a group whether a target still responds to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryQuestion {
    /// The group.
    pub group: GroupId,
    /// The target.
    pub target: TargetId,
}

/// A watcher's response to a [`PrimaryQuestion`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryAnswer {
    /// The instance of the responding watcher.
    pub instance: InstanceId,
    /// Whether the target responded to the watcher within the unresponsive limit;
    /// `None` if the instance does not watch the group.
    pub answered: Option<bool>,
}
