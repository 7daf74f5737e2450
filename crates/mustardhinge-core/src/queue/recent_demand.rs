use std::time::Duration;

use crate::units::MonotonicTime;

/// Time constant of the average: a few objectives of the fastest routes, so that the end of a
/// burst is noticed within the time that a caller waits before it retries.
const TIME_CONSTANT: Duration = Duration::from_millis(500);

/// The slot time that one priority has recently been given, as an exponentially decaying average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentDemand {
    decayed_micros: f64,
    updated_at: MonotonicTime,
}

impl RecentDemand {
    /// Records that a statement with this slot time was queued or sent.
    pub(crate) fn record(&mut self, cost_micros: u32, now: MonotonicTime) {
        self.decayed_micros = self.decayed(now) + f64::from(cost_micros);
        self.updated_at = now;
    }

    /// Returns the mean number of slots that the priority occupies.
    pub(crate) fn slots(&self, now: MonotonicTime) -> f64 {
        self.decayed(now) / (TIME_CONSTANT.as_secs_f64() * 1e6)
    }

    fn decayed(&self, now: MonotonicTime) -> f64 {
        let age = now.saturating_since(self.updated_at);
        self.decayed_micros * (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
