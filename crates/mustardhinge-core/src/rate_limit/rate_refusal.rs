use std::time::Duration;

/// Why an operation was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateRefusal {
    /// The allowance is spent; the holder may give more at once.
    RequestMore,
    /// The customer's rate is used up; there may be room after this time.
    Exhausted(Duration),
}
