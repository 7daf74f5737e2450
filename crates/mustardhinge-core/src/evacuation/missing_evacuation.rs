use std::time::Duration;

use crate::units::MonotonicTime;

/// Time for which an evacuation stays in force that a list of a later era doesn't have. Operators
/// write again within two seconds what a restored store has lost.
pub(super) const STORE_GRACE_PERIOD: Duration = Duration::from_millis(2_500);
/// The same for a set that another instance sent. Word of the evacuation written again takes up to
/// 500 ms to the next request to the leader and 400 ms before the fetch.
pub(super) const RELAY_GRACE_PERIOD: Duration = Duration::from_millis(4_000);

/// An evacuation that was known before the store was restored and that the restored store lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MissingEvacuation {
    /// Since when the zone is known to be evacuated.
    pub(super) since: MonotonicTime,
    /// Since when the evacuation is known to be missing.
    pub(super) missing_since: MonotonicTime,
    /// Time for which the evacuation stays in force.
    pub(super) grace_period: Duration,
}

impl MissingEvacuation {
    /// Returns whether the evacuation is still in force.
    pub(super) fn is_in_force(&self, now: MonotonicTime) -> bool {
        now.saturating_since(self.missing_since) < self.grace_period
    }
}
