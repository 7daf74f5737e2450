use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The rate and burst of one customer over all instances together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerLimit {
    /// The service whose document names the customer.
    pub service: ServiceId,
    /// The customer.
    pub customer: CustomerId,
    /// Its rate.
    pub rate: RequestRate,
    /// Its burst.
    pub burst: RequestBurst,
}
