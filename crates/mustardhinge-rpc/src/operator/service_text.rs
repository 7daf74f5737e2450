use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The text of a service's document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServiceText {
    /// The service.
    #[schemars(with = "String")]
    pub service: ServiceId,
    /// The version of the document.
    #[schemars(with = "u64")]
    pub version: DocumentVersion,
    /// The update that put the document in force.
    #[schemars(with = "String")]
    pub operation_id: OperationId,
    /// The document, in TOML.
    pub document: String,
    /// Whether the document was read from the store for this request.
    pub from_store: bool,
}
