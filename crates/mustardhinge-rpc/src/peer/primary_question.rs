use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Asks another watcher of a group whether it still hears a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryQuestion {
    /// The group.
    pub group: GroupId,
    /// The target.
    pub target: TargetId,
}

/// A watcher's answer to a [`PrimaryQuestion`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryAnswer {
    /// The instance that answers.
    pub instance: InstanceId,
    /// Whether the target answered it within the bound of silence; none if it
    /// does not watch the group.
    pub answered: Option<bool>,
}
