use crate::session::ReadRequirement;
use crate::units::MonotonicTime;

/// One read that needs a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadQuery {
    /// What the target has to hold.
    pub requirement: ReadRequirement,
    /// When the read arrived.
    pub arrived_at: MonotonicTime,
    /// When the read must have got its answer.
    pub deadline: MonotonicTime,
    /// Whether the read may be sent twice.
    pub is_repeatable: bool,
}

impl ReadQuery {
    /// Returns whether a second target may be asked as well: the read may be
    /// sent twice and its route allows an age.
    #[must_use]
    pub fn is_hedgeable(&self) -> bool {
        let allows_stale_data = matches!(
            self.requirement,
            ReadRequirement::MaxAge(_) | ReadRequirement::FloorAndMaxAge(..)
        );
        self.is_repeatable && allows_stale_data
    }
}
