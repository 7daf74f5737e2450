use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A service and the version of its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServiceSummary {
    /// The service.
    #[schemars(with = "String")]
    pub service: ServiceId,
    /// The version of the document.
    #[schemars(with = "u64")]
    pub version: DocumentVersion,
}
