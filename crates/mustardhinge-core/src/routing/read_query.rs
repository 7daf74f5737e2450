use crate::session::ReadRequirement;
use crate::units::MonotonicTime;

/// A read to be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadQuery {
    /// The data that the target must have applied.
    pub requirement: ReadRequirement,
    /// When the read arrived.
    pub arrived_at: MonotonicTime,
    /// The time by which the read needs its response.
    pub deadline: MonotonicTime,
    /// Whether it is safe to send the read twice.
    pub is_repeatable: bool,
}

impl ReadQuery {
    /// Returns whether the read may be hedged with a request to a second target:
    /// it is safe to send twice and its route allows stale data.
    #[must_use]
    pub fn is_hedgeable(&self) -> bool {
        let allows_stale_data = matches!(
            self.requirement,
            ReadRequirement::MaxAge(_) | ReadRequirement::FloorAndMaxAge(..)
        );
        self.is_repeatable && allows_stale_data
    }
}
