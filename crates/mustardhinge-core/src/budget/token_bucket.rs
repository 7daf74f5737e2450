use std::time::Duration;

use super::{BudgetLimit, RequestAmount, TokenCount};
use crate::units::{MonotonicTime, RequestRate};

/// A token bucket part of whose burst may be lent out.
///
/// The fill and what is lent are together never more than the burst.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    limit: BudgetLimit,
    fill: TokenCount,
    lent: RequestAmount,
    filled_at: MonotonicTime,
}

impl TokenBucket {
    /// Makes an empty bucket.
    #[must_use]
    pub const fn empty(limit: BudgetLimit, now: MonotonicTime) -> Self {
        Self {
            limit,
            fill: TokenCount::ZERO,
            lent: RequestAmount::ZERO,
            filled_at: now,
        }
    }

    /// Changes the limit.
    ///
    /// The time since the bucket was last used is filled at the smaller of the
    /// two rates, since it is unknown when the change came into force.
    pub fn set_limit(&mut self, limit: BudgetLimit, now: MonotonicTime) {
        let rate = self.limit.rate.min(limit.rate);
        self.refill_at(rate, now);
        self.limit = limit;
        self.cut_fill();
    }

    /// Lends up to `wanted` and returns how much.
    pub fn lend(&mut self, wanted: RequestAmount, now: MonotonicTime) -> RequestAmount {
        self.refill_at(self.limit.rate, now);
        let lent = wanted.min(self.fill.as_amount());
        self.fill = self.fill.saturating_sub(TokenCount::from_amount(lent));
        self.lent = self.lent.saturating_add(lent);
        lent
    }

    /// Takes back what was lent and not used.
    pub fn take_back(&mut self, amount: RequestAmount, now: MonotonicTime) {
        self.refill_at(self.limit.rate, now);
        let amount = amount.min(self.lent);
        self.lent = self.lent.saturating_sub(amount);
        self.fill = self.fill.saturating_add(TokenCount::from_amount(amount));
        self.cut_fill();
    }

    /// Writes off what was lent and is spent, or lapsed.
    ///
    /// The bucket is filled up to now first: the requests may have been spent just
    /// now, so that the room they took can't have been filled before.
    pub fn write_off(&mut self, amount: RequestAmount, now: MonotonicTime) {
        self.refill_at(self.limit.rate, now);
        self.lent = self.lent.saturating_sub(amount);
    }

    /// Returns the limit.
    #[must_use]
    pub const fn get_limit(&self) -> BudgetLimit {
        self.limit
    }

    /// Returns what is lent out.
    #[must_use]
    pub const fn get_lent(&self) -> RequestAmount {
        self.lent
    }

    /// Returns whether more is lent out than the burst.
    #[must_use]
    pub fn is_overlent(&self) -> bool {
        self.lent > self.limit.burst.into()
    }

    /// Returns what could be lent now.
    #[must_use]
    pub fn available(&mut self, now: MonotonicTime) -> RequestAmount {
        self.refill_at(self.limit.rate, now);
        self.fill.as_amount()
    }

    /// Returns the time until `amount` is in the bucket; none if the rate is zero
    /// or the burst that is not lent out has no room for it.
    #[must_use]
    pub fn time_to(&mut self, amount: RequestAmount, now: MonotonicTime) -> Option<Duration> {
        self.refill_at(self.limit.rate, now);
        let wanted = TokenCount::from_amount(amount);
        if wanted > self.room() {
            return None;
        }
        wanted.saturating_sub(self.fill).time_at(self.limit.rate)
    }

    fn refill_at(&mut self, rate: RequestRate, now: MonotonicTime) {
        let time = now.saturating_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.fill = self.fill.saturating_add(TokenCount::from_rate(rate, time));
        self.cut_fill();
    }

    fn room(&self) -> TokenCount {
        let burst = RequestAmount::from(self.limit.burst);
        TokenCount::from_amount(burst.saturating_sub(self.lent))
    }

    fn cut_fill(&mut self) {
        self.fill = self.fill.min(self.room());
    }
}
