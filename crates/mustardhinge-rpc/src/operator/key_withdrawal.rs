use mustardhinge_core::key::KeyDigest;
use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Withdraws one key of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct KeyWithdrawal {
    /// Names the update; stays the same when the call is repeated.
    #[schemars(with = "String")]
    pub operation_id: OperationId,
    /// The customer.
    #[schemars(with = "String")]
    pub customer: CustomerId,
    /// The digest of the key.
    #[schemars(with = "String")]
    pub digest: KeyDigest,
}
