use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::placement::HomeRegions;
use mustardhinge_core::prelude::{RouteName, RoutePriority, ServiceId};

use super::ReadRule;

/// How requests for one database are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanRoute {
    /// Its name in the configuration, if it has one.
    pub name: Option<RouteName>,
    /// The service that serves them.
    pub service: ServiceId,
    /// Which writes the reads must see.
    pub read_rule: ReadRule,
    /// Time limit of one statement.
    pub statement_timeout: Duration,
    /// Latency objective of a request.
    pub objective: Duration,
    /// Priority of the requests.
    pub priority: RoutePriority,
    /// Whether callers without a key are accepted.
    pub is_public: bool,
    /// The regions to which its requests are restricted, if they are.
    pub home_regions: Option<Rc<HomeRegions>>,
}
