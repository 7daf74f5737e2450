use std::time::Duration;

use super::{AllowanceSource, RateRefusal};

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
    /// Time until the instance counts as isolated unless the leader responds.
    pub until_isolated: Duration,
    /// Age of the request that the leader answered last; `None` before the first response.
    pub response_age: Option<Duration>,
}
