use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An update that is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct UpdateResult {
    /// The version of the document.
    #[schemars(with = "u64")]
    pub version: DocumentVersion,
    /// Whether it was in force before this call.
    pub already_applied: bool,
}
