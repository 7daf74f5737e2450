use std::time::Duration;

/// Why an operation was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateRefusal {
    /// The allowance is exhausted; the leader may grant more immediately.
    RequestMore,
    /// The instance has not yet received a response of any leader; the operation may wait this
    /// long for the first one.
    AwaitFirstGrant(Duration),
    /// The customer's rate is exhausted; an operation may be admitted after this time.
    Exhausted(Duration),
}
