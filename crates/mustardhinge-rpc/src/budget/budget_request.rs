use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An entry's report of what it spent and its wish for more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRequest {
    /// The start of the entry that asks, different for each start.
    pub incarnation: u64,
    /// The number of this request within the incarnation, so that a repeated
    /// message is answered once.
    pub sequence: u64,
    /// The service.
    pub service: ServiceId,
    /// The customer.
    pub customer: CustomerId,
    /// Requests admitted since the report before, out of earlier grants.
    pub spent: u32,
    /// Requests that wait for budget now.
    pub wanted: u32,
}
