use std::time::Duration;

/// Why an operation was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateRefusal {
    /// The allowance is exhausted; the leader may grant more immediately.
    RequestMore,
    /// The customer's rate is exhausted; an operation may be admitted after this time.
    Exhausted(Duration),
}
