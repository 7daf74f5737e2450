use serde::{Deserialize, Serialize};

use super::{ExplainOutcome, ExplainStep, RequestKind, TargetPath};
use crate::ids::{CustomerId, InstanceId, RouteName, ServiceId, TargetId, ZoneId};

/// Where an instance would route a request now, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainReport {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The service.
    pub service: ServiceId,
    /// The route, as in the query.
    pub route: RouteName,
    /// The customer.
    pub customer: CustomerId,
    /// The kind of the request.
    pub kind: RequestKind,
    /// Whether overload control is in force.
    pub is_overload_control_on: bool,
    /// Whether the instance is stopping. It serves open sessions until their next request is answered.
    pub is_stopping: bool,
    /// What would happen.
    pub outcome: ExplainOutcome,
    /// The target, or the most probable one.
    pub target: Option<TargetId>,
    /// How the request would reach it.
    pub path: Option<TargetPath>,
    /// Reason of a refusal, as in event 6011.
    pub reason: Option<String>,
    /// Retry delay of a refusal; under overload control, callers get up to a quarter more.
    pub retry_after_ms: Option<u64>,
    /// The steps, in the order in which the request path takes them.
    pub steps: Vec<ExplainStep>,
}
