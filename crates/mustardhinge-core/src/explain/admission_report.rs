use serde::{Deserialize, Serialize};

use super::ExplainOutcome;
use crate::ids::TargetId;

/// Whether the request would be admitted at a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionReport {
    /// The target.
    pub target: TargetId,
    /// What would happen to the request there.
    pub outcome: ExplainOutcome,
    /// Expected wait, if it would wait.
    pub expected_wait_ms: Option<u64>,
    /// Longest expected wait with which it is admitted.
    pub max_wait_ms: u64,
    /// Slot time that it is expected to occupy.
    pub cost_ms: f64,
    /// Retry delay if it were refused.
    pub retry_after_ms: Option<u64>,
}
