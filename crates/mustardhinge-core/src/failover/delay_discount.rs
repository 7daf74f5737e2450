use std::time::Duration;

/// The delays of this process that were left out of one condition.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DelayDiscount {
    total: Duration,
}

impl DelayDiscount {
    /// Returns the part of `delay` that may be left out, so that all parts add up to at most
    /// `limit`.
    pub(super) fn take(&mut self, delay: Duration, limit: Duration) -> Duration {
        let part = delay.min(limit.saturating_sub(self.total));
        self.total += part;
        part
    }
}
