use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// What an entry saw of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetObservation {
    /// The group of the target.
    pub group: GroupId,
    /// The target.
    pub target: TargetId,
    /// Whether it answered the last call, or was silent.
    pub answered: bool,
}
