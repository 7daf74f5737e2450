use serde::{Deserialize, Serialize};

use crate::ids::CustomerId;

/// The number of operations of one customer that one instance has admitted since its process
/// started.
///
/// The count is cumulative, so the next report makes up for a lost one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The customer.
    pub customer: CustomerId,
    /// Operations admitted from allowances.
    pub spent: u64,
    /// The level of the customer's bucket in the last grant; a new leader continues from it.
    #[serde(rename = "told_fill")]
    pub last_fill: Option<i64>,
    /// The same level without what was used since the instance is isolated.
    pub granted_fill: Option<i64>,
    /// The share of the rate that the instance may use while it is isolated, in millionths; the
    /// weight of its level.
    pub share: u32,
}
