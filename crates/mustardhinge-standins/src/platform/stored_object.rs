use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One object of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct StoredObject {
    /// Its kind.
    pub kind: String,
    /// Its name, unique within the kind.
    pub name: String,
    /// The revision of its last change.
    pub version: u64,
    /// The operation that made the last change.
    pub operation_id: String,
    /// Its value.
    pub value: serde_json::Value,
}
