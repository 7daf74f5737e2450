use mustardhinge_core::prelude::CustomerId;
use mustardhinge_core::rate_limit::CustomerRate;

/// A customer's limits over all instances together.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanCustomer {
    /// The customer.
    pub customer: CustomerId,
    /// How much it may send.
    pub limits: CustomerRate,
}
