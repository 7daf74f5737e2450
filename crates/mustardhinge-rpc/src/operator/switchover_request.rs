use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Asks for a planned change of a group's primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct SwitchoverRequest {
    /// The target to promote; without one, the replica that is furthest on.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub to: Option<TargetId>,
}
