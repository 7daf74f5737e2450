use std::time::Duration;

use rand::RngExt;

use super::PlatformError;

const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Exponential backoff with jitter before a failed watch is retried, so that agents
/// do not reconnect simultaneously.
pub(crate) struct WatchBackoff {
    next: Duration,
}

impl Default for WatchBackoff {
    fn default() -> Self {
        Self { next: MIN_BACKOFF }
    }
}

impl WatchBackoff {
    /// Resets the backoff to its minimum.
    pub(crate) fn reset(&mut self) {
        self.next = MIN_BACKOFF;
    }

    /// Counts the retry and returns the delay before it.
    pub(crate) fn next_delay(
        &mut self,
        error: &PlatformError,
        random: &mut impl rand::Rng,
    ) -> Duration {
        count_retry(error);
        let max_delay = self.next;
        self.next = (max_delay * 2).min(MAX_BACKOFF);
        max_delay.mul_f64(random.random_range(0.5..1.0))
    }
}

/// Counts a retried call to the platform.
pub(crate) fn count_retry(error: &PlatformError) {
    let reason = error.label();
    metrics::counter!("mustardhinge_platform_retries_total", "reason" => reason).increment(1);
}
