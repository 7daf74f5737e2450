use std::time::Duration;

use super::PlacementCandidate;

/// A target that can run a read, with the age of what is known about its load.
#[derive(Clone, Copy, Debug)]
pub struct SpreadCandidate {
    /// The properties that placement compares; `in_flight` is the expected load from all
    /// instances.
    pub target: PlacementCandidate,
    /// Age that the information about the statements of other instances has or usually reaches.
    pub age: Duration,
    /// Whether the target owes responses for longer than its load explains.
    pub is_silent: bool,
}

impl SpreadCandidate {
    /// Returns the expected number of statements that the target can start within `horizon`, less
    /// those that it has. Negative if it has more.
    ///
    /// A silent target isn't expected to complete any.
    #[must_use]
    pub fn free_capacity(&self, horizon: Duration) -> f64 {
        let slots = self.target.slots.max(1) as f64;
        let latency = self.target.typical_latency.max(Duration::from_millis(1));
        let turnover = if self.is_silent {
            0.0
        } else {
            horizon.as_secs_f64() / latency.as_secs_f64()
        };
        slots * (1.0 + turnover) - self.target.in_flight as f64
    }

    /// Returns the expected wait for a slot.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let slots = self.target.slots.max(1);
        let ahead = (self.target.in_flight + 1).saturating_sub(slots);
        self.target
            .typical_latency
            .mul_f64(ahead as f64 / slots as f64)
    }

    /// Returns whether the target is a replica of this instance's availability zone that is
    /// expected to start a statement within `max_wait`.
    #[must_use]
    pub fn is_near_with_capacity(&self, max_wait: Duration) -> bool {
        let target = &self.target;
        let is_sound = !(target.is_leaving || target.is_failing || target.lacks_position);
        target.is_same_zone
            && !target.is_primary
            && is_sound
            && !self.is_silent
            && self.expected_wait() <= max_wait
    }
}
