use std::rc::Rc;

use mustardhinge_core::placement::HomeRegions;
use mustardhinge_core::prelude::CustomerId;
use mustardhinge_core::rate_limit::CustomerRate;

/// A customer and its limits, for all instances together.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanCustomer {
    /// The customer.
    pub customer: CustomerId,
    /// The rate of its requests.
    pub limits: CustomerRate,
    /// The regions to which its requests are restricted, if they are.
    pub home_regions: Option<Rc<HomeRegions>>,
}
