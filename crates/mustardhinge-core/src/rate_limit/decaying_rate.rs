use std::time::Duration;

use crate::units::MonotonicTime;

/// The speed of spending is measured over about this time.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// How fast is spent, in operations a second: what was spent counts for less the longer ago
/// it was. The sum of several is kept as one, since all fall in the same way.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingRate {
    per_second: f64,
    measured_at: MonotonicTime,
}

impl DecayingRate {
    /// Returns the speed.
    pub(super) fn at(&self, now: MonotonicTime) -> f64 {
        let age = now.saturating_since(self.measured_at).as_secs_f64();
        self.per_second * (-age / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Counts that `operations` were spent just now.
    pub(super) fn add(&mut self, operations: f64, now: MonotonicTime) {
        self.adjust(operations / DECAY_TIME.as_secs_f64(), now);
    }

    /// Takes another speed out of a sum.
    pub(super) fn subtract(&mut self, other: &Self, now: MonotonicTime) {
        self.adjust(-other.at(now), now);
    }

    fn adjust(&mut self, per_second: f64, now: MonotonicTime) {
        self.per_second = (self.at(now) + per_second).max(0.0);
        self.measured_at = self.measured_at.max(now);
    }
}
