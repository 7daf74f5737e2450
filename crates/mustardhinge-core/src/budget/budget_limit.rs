use super::ShareFraction;
use crate::units::{RequestBurst, RequestRate};

/// A rate and a burst, the parameters of a token bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetLimit {
    /// The rate.
    pub rate: RequestRate,
    /// The burst.
    pub burst: RequestBurst,
}

impl BudgetLimit {
    /// Creates a limit.
    #[must_use]
    pub const fn new(rate: RequestRate, burst: RequestBurst) -> Self {
        Self { rate, burst }
    }

    /// Returns a fraction of the limit, rounded down.
    #[must_use]
    pub fn scaled(self, fraction: ShareFraction) -> Self {
        Self {
            rate: RequestRate::from_millis(fraction.of(self.rate.as_millis())),
            burst: RequestBurst::from_millis(fraction.of(self.burst.as_millis())),
        }
    }
}
