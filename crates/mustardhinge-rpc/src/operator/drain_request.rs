use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Makes an instance or a target leave, or stay after all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DrainRequest {
    /// Names the update; stays the same when the call is repeated.
    #[schemars(with = "String")]
    pub operation_id: OperationId,
    /// Whether it is to leave.
    pub draining: bool,
}
