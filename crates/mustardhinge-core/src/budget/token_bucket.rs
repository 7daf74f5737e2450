use std::time::Duration;

use super::{BudgetLimit, RequestAmount, TokenCount};
use crate::units::{MonotonicTime, RequestRate};

/// A token bucket that counts outstanding grants against its burst.
///
/// The level and the outstanding amount never sum to more than the burst, except
/// after the burst was lowered.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    limit: BudgetLimit,
    level: TokenCount,
    outstanding: RequestAmount,
    refilled_at: MonotonicTime,
}

impl TokenBucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn empty(limit: BudgetLimit, now: MonotonicTime) -> Self {
        Self {
            limit,
            level: TokenCount::ZERO,
            outstanding: RequestAmount::ZERO,
            refilled_at: now,
        }
    }

    /// Sets the limit.
    ///
    /// The time since the last refill counts at the smaller of the two rates, since it is
    /// unknown when the change took effect.
    pub fn set_limit(&mut self, limit: BudgetLimit, now: MonotonicTime) {
        let rate = self.limit.rate.min(limit.rate);
        self.refill(rate, now);
        self.limit = limit;
        self.cap_level();
    }

    /// Grants up to `wanted` and returns the granted amount.
    pub fn grant(&mut self, wanted: RequestAmount, now: MonotonicTime) -> RequestAmount {
        self.refill(self.limit.rate, now);
        let granted = wanted.min(self.level.as_amount());
        self.level = self.level.saturating_sub(TokenCount::from_amount(granted));
        self.outstanding = self.outstanding.saturating_add(granted);
        granted
    }

    /// Returns an unused amount to the bucket.
    pub fn return_unused(&mut self, amount: RequestAmount, now: MonotonicTime) {
        self.refill(self.limit.rate, now);
        let amount = amount.min(self.outstanding);
        self.outstanding = self.outstanding.saturating_sub(amount);
        self.level = self.level.saturating_add(TokenCount::from_amount(amount));
        self.cap_level();
    }

    /// Removes a spent or expired amount from the outstanding grants.
    ///
    /// Refills the bucket up to `now` first. The requests may have been spent just now,
    /// so the capacity they took can't have been refilled earlier.
    pub fn mark_spent(&mut self, amount: RequestAmount, now: MonotonicTime) {
        self.refill(self.limit.rate, now);
        self.outstanding = self.outstanding.saturating_sub(amount);
    }

    /// Returns the limit.
    #[must_use]
    pub const fn get_limit(&self) -> BudgetLimit {
        self.limit
    }

    /// Returns the outstanding amount.
    #[must_use]
    pub const fn get_outstanding(&self) -> RequestAmount {
        self.outstanding
    }

    /// Returns whether more than the burst is outstanding.
    #[must_use]
    pub fn is_overcommitted(&self) -> bool {
        self.outstanding > self.limit.burst.into()
    }

    /// Returns the amount that can be granted now.
    #[must_use]
    pub fn available(&mut self, now: MonotonicTime) -> RequestAmount {
        self.refill(self.limit.rate, now);
        self.level.as_amount()
    }

    /// Returns the time until `amount` is available, or `None` if the rate is zero or
    /// `amount` exceeds the burst less the outstanding amount.
    #[must_use]
    pub fn time_until_available(
        &mut self,
        amount: RequestAmount,
        now: MonotonicTime,
    ) -> Option<Duration> {
        self.refill(self.limit.rate, now);
        let wanted = TokenCount::from_amount(amount);
        if wanted > self.max_level() {
            return None;
        }
        wanted.saturating_sub(self.level).time_at(self.limit.rate)
    }

    fn refill(&mut self, rate: RequestRate, now: MonotonicTime) {
        let time = now.saturating_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.level = self.level.saturating_add(TokenCount::from_rate(rate, time));
        self.cap_level();
    }

    fn max_level(&self) -> TokenCount {
        let burst = RequestAmount::from(self.limit.burst);
        TokenCount::from_amount(burst.saturating_sub(self.outstanding))
    }

    fn cap_level(&mut self) {
        self.level = self.level.min(self.max_level());
    }
}
