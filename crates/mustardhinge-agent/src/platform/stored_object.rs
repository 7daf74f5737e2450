use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An object as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The kind of the object.
    pub kind: String,
    /// The name of the object.
    pub name: String,
    /// The version: the store's revision of its last change.
    pub version: DocumentVersion,
    /// The update that made this version.
    #[serde(default)]
    pub operation_id: Option<OperationId>,
    /// The value.
    pub value: serde_json::Value,
}
