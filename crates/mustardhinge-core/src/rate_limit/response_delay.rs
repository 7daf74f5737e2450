use std::time::Duration;

use crate::units::MonotonicTime;

/// Maximum delay that is reported; several round trips between zones, and the delay until the
/// first measurement.
const MAX_DELAY: Duration = Duration::from_millis(100);
/// Minimum delay that is reported. A delay of 0 ms would bring the caller back at once.
const MIN_DELAY: Duration = Duration::from_millis(2);
/// Part of a new measurement in the moving average, as a divisor.
const SMOOTHING_DIVISOR: u32 = 4;

/// Estimate of the time until the leader's next response, from the measured response times.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResponseDelay {
    mean: Option<Duration>,
    /// When the oldest request without a response was sent.
    awaited_since: Option<MonotonicTime>,
}

impl ResponseDelay {
    /// Records a request sent at `now`.
    pub(super) fn record_request(&mut self, now: MonotonicTime) {
        self.awaited_since.get_or_insert(now);
    }

    /// Records the response to the request sent at `requested_at`.
    pub(super) fn record_response(&mut self, requested_at: MonotonicTime, now: MonotonicTime) {
        let took = now.saturating_since(requested_at);
        self.mean = Some(match self.mean {
            Some(mean) => mean - mean / SMOOTHING_DIVISOR + took / SMOOTHING_DIVISOR,
            None => took,
        });
        self.awaited_since = self.awaited_since.filter(|since| *since > requested_at);
    }

    /// Returns the expected time until the next response. An overdue one counts as lost.
    pub(super) fn until_next(&self, now: MonotonicTime) -> Duration {
        let mean = self.mean.unwrap_or(MAX_DELAY);
        let expected_at = self.awaited_since.unwrap_or(now) + mean;
        let left = expected_at.saturating_since(now);
        if left.is_zero() {
            MAX_DELAY
        } else {
            left.clamp(MIN_DELAY, MAX_DELAY)
        }
    }
}
