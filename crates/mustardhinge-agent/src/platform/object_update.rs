use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// A conditional update of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectUpdate {
    /// The required current version; 0 if the object must not exist.
    pub expected_version: DocumentVersion,
    /// Identifies the update.
    pub operation_id: OperationId,
    /// The new value.
    pub value: serde_json::Value,
}
