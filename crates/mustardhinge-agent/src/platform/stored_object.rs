use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An object in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The kind of the object.
    pub kind: String,
    /// The name of the object.
    pub name: String,
    /// The version: the store revision of the last change.
    pub version: DocumentVersion,
    /// The update that wrote this version.
    #[serde(default)]
    pub operation_id: Option<OperationId>,
    /// The value.
    pub value: serde_json::Value,
}
