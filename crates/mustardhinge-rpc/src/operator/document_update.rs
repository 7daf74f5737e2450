use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A conditional update of a service's document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DocumentUpdate {
    /// The version that has to be in force; 0 if the service is new.
    #[schemars(with = "u64")]
    pub expected_version: DocumentVersion,
    /// Names the update; stays the same when the call is repeated.
    #[schemars(with = "String")]
    pub operation_id: OperationId,
    /// The document, in TOML.
    pub document: String,
}
