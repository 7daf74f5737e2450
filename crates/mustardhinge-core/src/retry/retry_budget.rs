/// Limits a customer's retries to a ratio of its first attempts plus an initial
/// allowance.
///
/// The budget is counted in thousandths of a retry, so that the ratio is exact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    millis: u64,
    max_millis: u64,
    ratio_millis: u64,
}

impl RetryBudget {
    const MILLIS_PER_RETRY: u64 = 1_000;
    const DEFAULT_MAX_RETRIES: u64 = 10;
    const DEFAULT_RATIO_MILLIS: u64 = 100;

    /// Creates a full budget of `max_retries` that gains `ratio_millis`
    /// thousandths of a retry with each first attempt.
    #[must_use]
    pub const fn new(max_retries: u64, ratio_millis: u64) -> Self {
        let max_millis = max_retries * Self::MILLIS_PER_RETRY;
        Self {
            millis: max_millis,
            max_millis,
            ratio_millis,
        }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.millis = (self.millis + self.ratio_millis).min(self.max_millis);
    }

    /// Withdraws one retry. Returns `false` if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        let rest = self.millis.checked_sub(Self::MILLIS_PER_RETRY);
        self.millis = rest.unwrap_or(self.millis);
        rest.is_some()
    }

    /// Returns the number of remaining whole retries.
    #[must_use]
    pub const fn retries_left(&self) -> u64 {
        self.millis / Self::MILLIS_PER_RETRY
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(Self::DEFAULT_MAX_RETRIES, Self::DEFAULT_RATIO_MILLIS)
    }
}
