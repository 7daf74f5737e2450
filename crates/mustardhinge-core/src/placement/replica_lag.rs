use std::time::Duration;

use crate::units::MonotonicTime;

/// A replica that was too far behind is tried again after this time: it catches up at once
/// when what held it up is over, and each try costs its read one more round trip.
const RECHECK_AFTER: Duration = Duration::from_millis(400);

/// How far one replica is behind, as one instance last saw it.
///
/// Load pattern: all replicas of a group fall behind by more than the routes allow, and every
/// read would be refused by each of them before it comes to the primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaLag {
    last_observed: Option<(Duration, MonotonicTime)>,
}

impl ReplicaLag {
    /// Takes that the replica holds all that was acknowledged before `covered_until`.
    pub fn record(&mut self, covered_until: MonotonicTime, now: MonotonicTime) {
        self.last_observed = Some((now.saturating_since(covered_until), now));
    }

    /// Takes that a read goes there to see whether the replica has caught up; until it is
    /// answered, no other one follows.
    pub fn record_attempt(&mut self, now: MonotonicTime) {
        if let Some((_, at)) = &mut self.last_observed {
            *at = now;
        }
    }

    /// Returns whether a read that may be `age` old should go there.
    #[must_use]
    pub fn may_serve(&self, age: Duration, now: MonotonicTime) -> bool {
        self.last_observed
            .is_none_or(|(lag, at)| lag <= age || now.saturating_since(at) >= RECHECK_AFTER)
    }
}
