use std::time::Duration;

use super::CustomerRate;
use crate::units::MonotonicTime;

/// Maximum retry delay of an isolated instance; a new leader usually exists by then.
const MAX_RETRY: Duration = Duration::from_secs(10);

/// What one customer may still use on an isolated instance beyond its granted allowance.
///
/// It starts with the instance's share of what the customer may still use over all instances, so
/// that the sum over all instances stays within the limit of a window. The level is negative
/// while the granted allowance exceeds the share.
#[derive(Clone, Copy, Debug)]
pub(super) struct IsolatedBucket {
    share: f64,
    /// The instance's share of what the customer could still use at the last grant.
    start: f64,
    level: f64,
    refilled_at: MonotonicTime,
}

impl IsolatedBucket {
    /// Creates the bucket of an instance that has a `share` of the rate and refills it from
    /// `refilled_at` on.
    ///
    /// `usable` is what the customer may still use over all instances, and `granted` the
    /// allowance that this instance received out of it.
    pub(super) const fn new(
        share: f64,
        usable: f64,
        granted: u64,
        refilled_at: MonotonicTime,
    ) -> Self {
        let start = share * usable;
        Self {
            share,
            start,
            // Allowances are small.
            level: start - granted as f64,
            refilled_at,
        }
    }

    /// Sets the share that applies from now on.
    pub(super) const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Takes one operation, after a refill for the time isolated since `isolated_at`.
    ///
    /// # Errors
    ///
    /// Returns the time until an operation is available, if there is none.
    pub(super) fn take(
        &mut self,
        limits: CustomerRate,
        isolated_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        let rate = limits.rate * self.share;
        let since = self.refilled_at.max(isolated_at);
        let elapsed = now.saturating_since(since).as_secs_f64();
        self.refilled_at = now;
        self.level = (self.level + rate * elapsed).min(self.capacity(limits));
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - self.level) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(seconds).map_or(MAX_RETRY, |wait| wait.min(MAX_RETRY)))
    }

    /// Puts back one operation that was taken and not used.
    pub(super) fn put_back(&mut self, limits: CustomerRate) {
        self.level = (self.level + 1.0).min(self.capacity(limits));
    }

    /// Returns the operations that all instances together have used beyond the refill, if they
    /// use their shares like this one, of whose granted allowance `unused` operations are left.
    pub(super) fn used_by_all(&self, unused: u64, limits: CustomerRate) -> f64 {
        let used = self.start - self.level - unused as f64;
        (used / self.share.max(f64::MIN_POSITIVE)).min(limits.allowances())
    }

    fn capacity(&self, limits: CustomerRate) -> f64 {
        (self.share * limits.allowances()).max(1.0)
    }
}
