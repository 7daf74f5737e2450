use std::time::Duration;

use crate::units::MonotonicTime;

/// What a target is taken to need for a statement before any was measured.
const INITIAL_LATENCY: Duration = Duration::from_millis(20);
/// Weight of a new measurement, in eighths.
const NEW_SAMPLE_EIGHTHS: u32 = 1;
/// A measurement loses its hold on placement after this time, so that a target that was
/// slow is tried again.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// The usual answer time of one target, as one instance measures it.
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
    /// Takes the time that one answer took.
    pub fn record(&mut self, took: Duration, now: MonotonicTime) {
        self.average = (self.average * (8 - NEW_SAMPLE_EIGHTHS) + took * NEW_SAMPLE_EIGHTHS) / 8;
        self.measured_at = now;
    }

    /// Returns the usual answer time.
    #[must_use]
    pub fn typical(&self, now: MonotonicTime) -> Duration {
        if now.saturating_since(self.measured_at) > STALE_AFTER {
            return self.average.min(INITIAL_LATENCY);
        }
        self.average
    }
}
