use std::rc::Rc;

use mustardhinge_core::placement::HomeRegions;
use mustardhinge_core::prelude::CustomerId;

use crate::plan::PlanRoute;

/// What a session may use, according to one version of the configuration.
#[derive(Clone, Debug)]
pub struct CheckedAccess {
    /// The route of its database.
    pub route: Rc<PlanRoute>,
    /// The customer of its key.
    pub customer: CustomerId,
    /// The regions to which its statements are restricted, if they are.
    pub homes: Option<Rc<HomeRegions>>,
}
