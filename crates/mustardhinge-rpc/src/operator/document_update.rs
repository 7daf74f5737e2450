use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A conditional update of a service's document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DocumentUpdate {
    /// The version that must be in force for the update to apply; 0 for a new
    /// service.
    #[schemars(with = "u64")]
    pub expected_version: DocumentVersion,
    /// Identifies the update; a retry of the call uses the same identifier.
    #[schemars(with = "String")]
    pub operation_id: OperationId,
    /// The document, in TOML.
    pub document: String,
}
