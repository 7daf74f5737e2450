use serde::{Deserialize, Serialize};

use super::RateState;

/// The check of the customer's rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateReport {
    /// Result of the check.
    pub state: RateState,
    /// Number of operations that the granted allowance still admits.
    pub remaining: Option<u64>,
    /// Whether the instance counts as isolated from the leader.
    pub is_isolated: bool,
    /// Share of the rate that the instance may use without a leader.
    pub share: Option<f64>,
    /// Age of the request that the leader answered last; `None` before the first response.
    pub response_age_ms: Option<u64>,
    /// How long the request would wait at most.
    pub wait_ms: Option<u64>,
    /// Retry delay if it were refused.
    pub retry_after_ms: Option<u64>,
    /// What follows for the request.
    pub effect: String,
}
