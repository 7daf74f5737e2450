use serde::{Deserialize, Serialize};

use crate::ids::{TargetId, ZoneId};
use crate::placement::PlacementExclusion;

/// A target that could run the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateReport {
    /// The target.
    pub target: TargetId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it is the primary in use.
    pub is_primary: bool,
    /// Whether it failed to respond and has not responded since.
    pub is_failing: bool,
    /// Why the request would not be sent there, if placement excludes it.
    pub exclusion: Option<PlacementExclusion>,
    /// Expected response time plus penalties.
    pub cost_ms: Option<f64>,
    /// Expected number of statements that it can start, less those that it has. With overload control only.
    pub free_capacity: Option<f64>,
    /// Age of the last load report of the target's gateway.
    pub report_age_ms: Option<u64>,
    /// Probability that the request is sent there.
    pub probability: f64,
}
