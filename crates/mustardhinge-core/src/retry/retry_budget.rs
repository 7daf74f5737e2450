/// A customer's allowance of retries: a share of its first attempts, and a few
/// to begin with.
///
/// Counted in thousandths of a retry, so that the share is exact.
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

    /// Makes a full budget that holds `max_retries` and gains
    /// `ratio_millis` thousandths of a retry with each first attempt.
    #[must_use]
    pub const fn new(max_retries: u64, ratio_millis: u64) -> Self {
        let max_millis = max_retries * Self::MILLIS_PER_RETRY;
        Self {
            millis: max_millis,
            max_millis,
            ratio_millis,
        }
    }

    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.millis = (self.millis + self.ratio_millis).min(self.max_millis);
    }

    /// Takes one retry out of the budget; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let rest = self.millis.checked_sub(Self::MILLIS_PER_RETRY);
        self.millis = rest.unwrap_or(self.millis);
        rest.is_some()
    }

    /// Returns the number of whole retries left.
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
