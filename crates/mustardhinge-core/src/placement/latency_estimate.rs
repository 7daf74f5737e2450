use std::time::Duration;

use crate::units::MonotonicTime;

/// Assumed response time of a target before the first measurement.
const INITIAL_LATENCY: Duration = Duration::from_millis(20);
/// Weight of a new sample in the moving average, in eighths.
const NEW_SAMPLE_EIGHTHS: u32 = 1;
/// A high estimate expires after this time without a new sample, so that a target that was slow
/// is tried again.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// A moving average of one target's response times, as measured by one instance.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    average: Duration,
    measured_at: MonotonicTime,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self {
            average: INITIAL_LATENCY,
            measured_at: MonotonicTime::default(),
        }
    }
}

impl LatencyEstimate {
    /// Records the time that one response took.
    pub fn record(&mut self, took: Duration, now: MonotonicTime) {
        self.average = (self.average * (8 - NEW_SAMPLE_EIGHTHS) + took * NEW_SAMPLE_EIGHTHS) / 8;
        self.measured_at = now;
    }

    /// Returns the typical response time. A stale estimate is capped at the initial one.
    #[must_use]
    pub fn typical(&self, now: MonotonicTime) -> Duration {
        if now.saturating_since(self.measured_at) > STALE_AFTER {
            return self.average.min(INITIAL_LATENCY);
        }
        self.average
    }
}
