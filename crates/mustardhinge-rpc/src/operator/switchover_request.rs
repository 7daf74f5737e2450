use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Requests a planned switchover of a group's primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct SwitchoverRequest {
    /// The target to promote; defaults to the most advanced replica.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub to: Option<TargetId>,
}
