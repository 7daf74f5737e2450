use std::time::Duration;

use crate::units::MonotonicTime;

/// A replica that lagged too far is tried again after this time. It catches up immediately once
/// the cause of its lag ends, but each failed attempt costs the read an additional round trip.
const RECHECK_AFTER: Duration = Duration::from_millis(400);

/// The replication lag of one replica, as last observed by one instance.
///
/// Load pattern: all replicas of a group lag by more than the routes allow. Without this record,
/// each read would be refused by every replica before it reaches the primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaLag {
    last_observed: Option<(Duration, MonotonicTime)>,
}

impl ReplicaLag {
    /// Records that the replica has applied all writes acknowledged before `covered_until`.
    pub fn record(&mut self, covered_until: MonotonicTime, now: MonotonicTime) {
        self.last_observed = Some((now.saturating_since(covered_until), now));
    }

    /// Records that a read is sent to check whether the replica has caught up. It restarts the
    /// interval, so that no other read is sent while this one is in flight.
    pub fn record_attempt(&mut self, now: MonotonicTime) {
        if let Some((_, at)) = &mut self.last_observed {
            *at = now;
        }
    }

    /// Returns whether a read with a maximum staleness of `age` should be sent to the replica.
    #[must_use]
    pub fn may_serve(&self, age: Duration, now: MonotonicTime) -> bool {
        self.last_observed
            .is_none_or(|(lag, at)| lag <= age || now.saturating_since(at) >= RECHECK_AFTER)
    }
}
