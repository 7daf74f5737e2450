use std::time::Duration;

use crate::units::MonotonicTime;

/// Default time constant of the exponential decay.
pub(super) const DECAY_TIME: Duration = Duration::from_secs(4);

/// An exponentially decaying average of a rate, in operations per second.
///
/// The sum of several rates with the same time constant is itself a decaying rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingRate {
    per_second: f64,
    measured_at: MonotonicTime,
    decay_time: Duration,
}

impl Default for DecayingRate {
    fn default() -> Self {
        Self::new(DECAY_TIME)
    }
}

impl DecayingRate {
    /// Creates a rate of zero that decays with a time constant.
    pub(super) fn new(decay_time: Duration) -> Self {
        Self {
            per_second: 0.0,
            measured_at: MonotonicTime::default(),
            decay_time,
        }
    }

    /// Returns a rate of zero with the same time constant.
    pub(super) fn restarted(&self) -> Self {
        Self::new(self.decay_time)
    }

    /// Returns the rate at `now`.
    pub(super) fn at(&self, now: MonotonicTime) -> f64 {
        let age = now.saturating_since(self.measured_at).as_secs_f64();
        self.per_second * (-age / self.decay_time.as_secs_f64()).exp()
    }

    /// Adds operations that happened at `now`.
    pub(super) fn add(&mut self, operations: f64, now: MonotonicTime) {
        self.adjust(operations / self.decay_time.as_secs_f64(), now);
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
