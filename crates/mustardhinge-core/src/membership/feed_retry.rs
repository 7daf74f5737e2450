use std::time::Duration;

use rand::{Rng, RngExt};

/// Delay after the first failed call.
const MIN_DELAY: Duration = Duration::from_millis(300);
/// Maximum delay for an instance that another one watches the store for: it is back in time for a
/// configuration that has to take effect within seconds.
const MAX_DELAY: Duration = Duration::from_millis(2_000);

/// Delays between failed attempts to follow a part of the store.
///
/// Load pattern: the store is out, and all of hundreds of instances read it themselves, since no
/// copy can be confirmed.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedRetry {
    failures: u32,
}

impl FeedRetry {
    /// Returns the delay after a failed call. It grows unless the instance `is_watcher`, on which
    /// others depend.
    pub fn next_delay(&mut self, is_watcher: bool, random: &mut impl Rng) -> Duration {
        if is_watcher {
            self.failures = 0;
            return MIN_DELAY;
        }
        let delay = MIN_DELAY.saturating_mul(2_u32.saturating_pow(self.failures));
        self.failures = self.failures.saturating_add(1);
        delay.min(MAX_DELAY).mul_f64(random.random_range(0.5..1.0))
    }

    /// Begins with the shortest delay again, after a response.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
