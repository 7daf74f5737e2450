use serde::{Deserialize, Serialize};

use crate::ids::CustomerId;

/// What one instance admitted of one customer since its process started.
///
/// The counts only grow, so that a lost report is made good by the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The customer.
    pub customer: CustomerId,
    /// Operations admitted out of allowances.
    pub spent: u64,
    /// What the customer's bucket held when the holder last told; a new holder goes on from
    /// there.
    #[serde(rename = "told_fill")]
    pub last_fill: Option<i64>,
}
