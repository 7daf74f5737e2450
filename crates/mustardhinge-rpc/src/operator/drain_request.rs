use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Starts or cancels the drain of an instance or a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DrainRequest {
    /// Identifies the update; a retry of the call uses the same identifier.
    #[schemars(with = "String")]
    pub operation_id: OperationId,
    /// Whether to drain; `false` cancels a drain.
    pub draining: bool,
}
