use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A conditional update of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ObjectUpdate {
    /// The version that must be in force; 0 if the object must not exist.
    pub expected_version: u64,
    /// The caller's name for this update.
    pub operation_id: String,
    /// The new value.
    pub value: serde_json::Value,
}
