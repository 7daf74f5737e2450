use std::time::Duration;

use super::{CustomerRate, ShareAmount};
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
    /// Operations borrowed from the share pool and not used yet.
    borrowed: u32,
    /// What the share pool has accepted from this instance, less what it has lent to it.
    lent: f64,
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
        // Allowances are small.
        let level = start - granted as f64;
        Self {
            share,
            start,
            level,
            borrowed: 0,
            lent: 0.0,
            refilled_at,
        }
    }

    /// Returns the share that applies.
    pub(super) const fn share(&self) -> f64 {
        self.share
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
        self.refill(limits, isolated_at, now);
        if self.level >= 1.0 {
            self.level -= 1.0;
        } else if self.borrowed > 0 {
            self.borrowed -= 1;
        } else {
            let rate = limits.rate * self.share;
            let seconds = (1.0 - self.level) / rate.max(f64::MIN_POSITIVE);
            let wait = Duration::try_from_secs_f64(seconds);
            return Err(wait.map_or(MAX_RETRY, |wait| wait.min(MAX_RETRY)));
        }
        Ok(())
    }

    /// Puts back one operation that was taken and not used.
    pub(super) fn put_back(&mut self, limits: CustomerRate) {
        self.level = (self.level + 1.0).min(self.capacity(limits));
    }

    /// Puts back a deposit that the share pool has not received.
    pub(super) fn restore(&mut self, amount: ShareAmount, limits: CustomerRate) {
        let level = self.level + amount.as_operations();
        self.level = level.min(self.capacity(limits).max(self.level));
    }

    /// Adds operations borrowed from the share pool.
    pub(super) fn add_loan(&mut self, operations: u32) {
        self.borrowed = self.borrowed.saturating_add(operations);
        self.lent -= f64::from(operations);
    }

    /// Adds the unused part of the granted allowance, which was deducted when the bucket began.
    pub(super) const fn add_unused(&mut self, operations: u64) {
        // Allowances are small.
        self.level += operations as f64;
    }

    /// Records how much of a deposit the share pool has accepted.
    pub(super) const fn record_accepted(&mut self, amount: ShareAmount) {
        self.lent += amount.as_operations();
    }

    /// Takes what the instance can't use out of the bucket: less than one operation or, if the
    /// customer `is_idle`, everything. Takes nothing if that is less than `least`.
    pub(super) fn withdraw(
        &mut self,
        limits: CustomerRate,
        (is_idle, least): (bool, ShareAmount),
        isolated_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<ShareAmount> {
        self.refill(limits, isolated_at, now);
        let level = self.level.max(0.0);
        let surplus = if is_idle { level } else { level.fract() };
        let mut amount = ShareAmount::at_most(surplus);
        let own = amount;
        if is_idle {
            amount += ShareAmount::from_operations(self.borrowed);
        }
        if amount < least {
            return None;
        }
        self.level -= own.as_operations();
        if is_idle {
            self.borrowed = 0;
        }
        Some(amount)
    }

    /// Returns how much the pool may hold for this bucket: the unused part of its share of
    /// the capacity.
    pub(super) fn room(&self, limits: CustomerRate) -> ShareAmount {
        ShareAmount::at_most(self.share * limits.allowances() - self.level.max(0.0))
    }

    fn refill(&mut self, limits: CustomerRate, isolated_at: MonotonicTime, now: MonotonicTime) {
        let since = self.refilled_at.max(isolated_at);
        let elapsed = now.saturating_since(since).as_secs_f64();
        let added = limits.rate * self.share * elapsed;
        self.refilled_at = now;
        self.level = (self.level + added).min(self.capacity(limits));
    }

    /// Returns the operations that all instances together have used beyond the refill, if they
    /// use their shares like this one, of whose granted allowance `unused` operations are left.
    pub(super) fn used_by_all(&self, unused: u64) -> f64 {
        let held = self.level + f64::from(self.borrowed) + self.lent;
        let used = self.start - held - unused as f64;
        used / self.share.max(f64::MIN_POSITIVE)
    }

    fn capacity(&self, limits: CustomerRate) -> f64 {
        (self.share * limits.allowances()).max(1.0)
    }
}
