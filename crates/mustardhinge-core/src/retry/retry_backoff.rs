use std::time::Duration;

use rand::{Rng, RngExt};

/// Exponential backoff with full jitter: the upper bound of the wait doubles with
/// each retry up to a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBackoff {
    base: Duration,
    limit: Duration,
}

impl RetryBackoff {
    const DEFAULT_BASE: Duration = Duration::from_millis(5);
    const DEFAULT_LIMIT: Duration = Duration::from_millis(200);

    /// Creates a backoff whose upper bound starts at `base` and is capped at `limit`.
    #[must_use]
    pub const fn new(base: Duration, limit: Duration) -> Self {
        Self { base, limit }
    }

    /// Returns the maximum wait before a retry; the first retry is 0.
    #[must_use]
    pub fn ceiling(&self, retry: u32) -> Duration {
        let factor = 2_u32.saturating_pow(retry);
        self.base.saturating_mul(factor).min(self.limit)
    }

    /// Returns a random wait before a retry; the first retry is 0.
    pub fn wait(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        self.ceiling(retry).mul_f64(rng.random::<f64>())
    }
}

impl Default for RetryBackoff {
    fn default() -> Self {
        Self::new(Self::DEFAULT_BASE, Self::DEFAULT_LIMIT)
    }
}
