use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The result of an update that is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct UpdateResult {
    /// The version of the document.
    #[schemars(with = "u64")]
    pub version: DocumentVersion,
    /// Whether the update was already in force before this call.
    pub already_applied: bool,
}
