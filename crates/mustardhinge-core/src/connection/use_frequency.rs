use std::time::Duration;

use crate::units::MonotonicTime;

/// Time constant of the decay: several times the interval between two uses by a customer that
/// justifies a connection of its own.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// An exponentially decaying count of uses.
///
/// Load pattern: an instance has fewer connections to a target than there are customers, and a
/// few customers send most of the requests. Connections of frequent customers are kept. Those of
/// infrequent customers are closed first, even if they were used more recently.
#[derive(Clone, Copy, Debug, Default)]
pub struct UseFrequency {
    uses: f64,
    counted_at: MonotonicTime,
}

impl UseFrequency {
    /// Adds a use at `now`.
    pub fn record_use(&mut self, now: MonotonicTime) {
        self.uses = self.decayed_uses(now) + 1.0;
        self.counted_at = now;
    }

    /// Returns the number of uses, each weighted by its age at `now`.
    #[must_use]
    pub fn decayed_uses(&self, now: MonotonicTime) -> f64 {
        let age = now.saturating_since(self.counted_at);
        self.uses * (-age.as_secs_f64() / DECAY_TIME_CONSTANT.as_secs_f64()).exp()
    }
}
