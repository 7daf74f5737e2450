use serde::{Deserialize, Serialize};

use crate::ids::CustomerId;

/// The allowance of one customer on one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceGrant {
    /// The customer.
    pub customer: CustomerId,
    /// The maximum cumulative number of admitted operations.
    pub ceiling: u64,
    /// The share of the rate that the instance may use while it is isolated, in millionths.
    #[serde(rename = "part")]
    pub share: u32,
    /// The level of the customer's bucket; negative after overuse.
    pub fill: i64,
    /// Time until the bucket's level is no longer negative, in milliseconds; `None` if the
    /// allowance is not empty.
    pub closed_ms: Option<u64>,
}
