use std::time::Duration;

use crate::units::MonotonicTime;

/// The speed of spending is measured over about this time.
const SPEED_WINDOW: Duration = Duration::from_secs(4);

/// How fast is spent, in operations a second: what was spent counts for less the longer ago
/// it was. The sum of several is kept as one, since all fall in the same way.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SpendSpeed {
    per_second: f64,
    measured_at: MonotonicTime,
}

impl SpendSpeed {
    /// Returns the speed.
    pub(super) fn at(&self, now: MonotonicTime) -> f64 {
        let age = now.saturating_since(self.measured_at).as_secs_f64();
        self.per_second * (-age / SPEED_WINDOW.as_secs_f64()).exp()
    }

    /// Counts that `operations` were spent just now.
    pub(super) fn spend(&mut self, operations: f64, now: MonotonicTime) {
        self.change(operations / SPEED_WINDOW.as_secs_f64(), now);
    }

    /// Takes another speed out of a sum.
    pub(super) fn remove(&mut self, other: &Self, now: MonotonicTime) {
        self.change(-other.at(now), now);
    }

    fn change(&mut self, per_second: f64, now: MonotonicTime) {
        self.per_second = (self.at(now) + per_second).max(0.0);
        self.measured_at = self.measured_at.max(now);
    }
}
