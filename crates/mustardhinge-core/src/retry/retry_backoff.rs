use std::time::Duration;

use rand::{Rng, RngExt};

/// Waits that double from retry to retry up to a limit, with jitter over the
/// whole wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBackoff {
    base: Duration,
    limit: Duration,
}

impl RetryBackoff {
    const DEFAULT_BASE: Duration = Duration::from_millis(5);
    const DEFAULT_LIMIT: Duration = Duration::from_millis(200);

    /// Makes a backoff that starts at `base` and ends at `limit`.
    #[must_use]
    pub const fn new(base: Duration, limit: Duration) -> Self {
        Self { base, limit }
    }

    /// Returns the greatest wait before the given retry, the first being 0.
    #[must_use]
    pub fn ceiling(&self, retry: u32) -> Duration {
        let factor = 2_u32.saturating_pow(retry);
        self.base.saturating_mul(factor).min(self.limit)
    }

    /// Returns the wait before the given retry, the first being 0.
    pub fn wait(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        self.ceiling(retry).mul_f64(rng.random::<f64>())
    }
}

impl Default for RetryBackoff {
    fn default() -> Self {
        Self::new(Self::DEFAULT_BASE, Self::DEFAULT_LIMIT)
    }
}
