use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::TimeMicros;

/// The moment at which the withdrawal of a customer's key was accepted.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyWithdrawal {
    /// The service.
    pub service: ServiceId,
    /// The customer whose key it was.
    pub customer: CustomerId,
    /// When the changed document was accepted.
    #[serde_as(as = "TimeMicros")]
    pub at: MonotonicTime,
}
