use std::time::Duration;

use crate::units::MonotonicTime;

/// Time constant of the exponential decay.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// An exponentially decaying average of a rate, in operations per second.
///
/// All rates decay with the same time constant, so the sum of several rates is itself a decaying
/// rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingRate {
    per_second: f64,
    measured_at: MonotonicTime,
}

impl DecayingRate {
    /// Returns the rate at `now`.
    pub(super) fn at(&self, now: MonotonicTime) -> f64 {
        let age = now.saturating_since(self.measured_at).as_secs_f64();
        self.per_second * (-age / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Adds operations that happened at `now`.
    pub(super) fn add(&mut self, operations: f64, now: MonotonicTime) {
        self.adjust(operations / DECAY_TIME.as_secs_f64(), now);
    }

    /// Subtracts another rate from a sum.
    pub(super) fn subtract(&mut self, other: &Self, now: MonotonicTime) {
        self.adjust(-other.at(now), now);
    }

    fn adjust(&mut self, per_second: f64, now: MonotonicTime) {
        self.per_second = (self.at(now) + per_second).max(0.0);
        self.measured_at = self.measured_at.max(now);
    }
}
