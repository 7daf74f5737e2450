use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An entry's observation of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetObservation {
    /// The group of the target.
    pub group: GroupId,
    /// The target.
    pub target: TargetId,
    /// Whether the target responded to the last call; `false` if it was unresponsive.
    pub answered: bool,
}
