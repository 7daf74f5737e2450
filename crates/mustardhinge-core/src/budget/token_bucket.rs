use std::time::Duration;

use super::{BudgetLimit, RequestAmount, TokenCount};
use crate::units::{MonotonicTime, RequestRate};

/// A token bucket part of whose burst may be lent out.
///
/// The fill and what is lent are together never more than the burst.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    limit: BudgetLimit,
    level: TokenCount,
    outstanding: RequestAmount,
    refilled_at: MonotonicTime,
}

impl TokenBucket {
    /// Makes an empty bucket.
    #[must_use]
    pub const fn empty(limit: BudgetLimit, now: MonotonicTime) -> Self {
        Self {
            limit,
            level: TokenCount::ZERO,
            outstanding: RequestAmount::ZERO,
            refilled_at: now,
        }
    }

    /// Changes the limit.
    ///
    /// The time since the bucket was last used is filled at the smaller of the
    /// two rates, since it is unknown when the change came into force.
    pub fn set_limit(&mut self, limit: BudgetLimit, now: MonotonicTime) {
        let rate = self.limit.rate.min(limit.rate);
        self.refill(rate, now);
        self.limit = limit;
        self.cap_level();
    }

    /// Lends up to `wanted` and returns how much.
    pub fn grant(&mut self, wanted: RequestAmount, now: MonotonicTime) -> RequestAmount {
        self.refill(self.limit.rate, now);
        let granted = wanted.min(self.level.as_amount());
        self.level = self.level.saturating_sub(TokenCount::from_amount(granted));
        self.outstanding = self.outstanding.saturating_add(granted);
        granted
    }

    /// Takes back what was lent and not used.
    pub fn return_unused(&mut self, amount: RequestAmount, now: MonotonicTime) {
        self.refill(self.limit.rate, now);
        let amount = amount.min(self.outstanding);
        self.outstanding = self.outstanding.saturating_sub(amount);
        self.level = self.level.saturating_add(TokenCount::from_amount(amount));
        self.cap_level();
    }

    /// Writes off what was lent and is spent, or lapsed.
    ///
    /// The bucket is filled up to now first: the requests may have been spent just
    /// now, so that the room they took can't have been filled before.
    pub fn mark_spent(&mut self, amount: RequestAmount, now: MonotonicTime) {
        self.refill(self.limit.rate, now);
        self.outstanding = self.outstanding.saturating_sub(amount);
    }

    /// Returns the limit.
    #[must_use]
    pub const fn get_limit(&self) -> BudgetLimit {
        self.limit
    }

    /// Returns what is lent out.
    #[must_use]
    pub const fn get_outstanding(&self) -> RequestAmount {
        self.outstanding
    }

    /// Returns whether more is lent out than the burst.
    #[must_use]
    pub fn is_overcommitted(&self) -> bool {
        self.outstanding > self.limit.burst.into()
    }

    /// Returns what could be lent now.
    #[must_use]
    pub fn available(&mut self, now: MonotonicTime) -> RequestAmount {
        self.refill(self.limit.rate, now);
        self.level.as_amount()
    }

    /// Returns the time until `amount` is in the bucket; none if the rate is zero
    /// or the burst that is not lent out has no room for it.
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
