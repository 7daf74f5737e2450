use serde::{Deserialize, Serialize};

use super::ShareAmount;
use crate::ids::CustomerId;

/// What an instance lends to a share pool for one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerDeposit {
    /// The customer.
    pub customer: CustomerId,
    /// The part that the instance has deducted from its own bucket.
    pub amount: ShareAmount,
    /// The part of the bucket's capacity that is unused after the deposit; the pool holds at most
    /// the sum over all depositors.
    pub room: ShareAmount,
}
