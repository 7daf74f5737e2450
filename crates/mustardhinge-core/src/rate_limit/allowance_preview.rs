use std::time::Duration;

use super::{AllowanceSource, LeaderDelays, RateRefusal};

/// What the admission of one operation would result in, and what it depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowancePreview {
    /// The result of the admission.
    pub admitted: Result<AllowanceSource, RateRefusal>,
    /// The number of operations that the granted allowance still admits; `None` for an unknown
    /// customer.
    pub remaining: Option<u64>,
    /// The share of the rate that the instance may use without a leader; `None` for an unknown
    /// customer.
    pub share: Option<f64>,
    /// Whether the instance counts as isolated from the leader.
    pub is_isolated: bool,
    /// When the leader's next response is expected.
    pub leader: LeaderDelays,
    /// Age of the request that the leader answered last; `None` before the first response.
    pub response_age: Option<Duration>,
}
