use mustardhinge_core::key::KeyDigest;
use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Withdraws one key of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct KeyWithdrawal {
    /// Identifies the update; a retry of the call uses the same identifier.
    #[schemars(with = "String")]
    pub operation_id: OperationId,
    /// The customer.
    #[schemars(with = "String")]
    pub customer: CustomerId,
    /// The digest of the key.
    #[schemars(with = "String")]
    pub digest: KeyDigest,
}
