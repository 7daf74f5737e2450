use serde::{Deserialize, Serialize};

use crate::ids::CustomerId;

/// What one instance may still admit of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceGrant {
    /// The customer.
    pub customer: CustomerId,
    /// The count of spent operations that it may reach.
    pub ceiling: u64,
    /// The part of the rate that the instance may spend while it is cut off, in millionths.
    #[serde(rename = "part")]
    pub share: u32,
    /// What the customer's bucket holds; negative in a debt.
    pub fill: i64,
    /// How long the customer's debt lasts, in milliseconds; none without a debt.
    pub closed_ms: Option<u64>,
}
