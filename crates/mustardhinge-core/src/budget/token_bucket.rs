use std::time::Duration;

use super::{BudgetLimit, TokenCount};
use crate::units::{MonotonicTime, RequestRate};

/// A token bucket part of whose burst may be lent out.
///
/// The fill and what is lent are together never more than the burst.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    limit: BudgetLimit,
    fill: TokenCount,
    lent: u64,
    filled_at: MonotonicTime,
}

impl TokenBucket {
    /// Makes an empty bucket.
    #[must_use]
    pub const fn empty(limit: BudgetLimit, now: MonotonicTime) -> Self {
        Self {
            limit,
            fill: TokenCount::ZERO,
            lent: 0,
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

    /// Lends up to `wanted` requests and returns how many.
    pub fn lend(&mut self, wanted: u64, now: MonotonicTime) -> u64 {
        self.refill_at(self.limit.rate, now);
        let lent = wanted.min(self.fill.whole_requests());
        self.fill = self.fill.saturating_sub(TokenCount::from_requests(lent));
        self.lent += lent;
        lent
    }

    /// Takes back requests that were lent and not used.
    pub fn take_back(&mut self, requests: u64, now: MonotonicTime) {
        self.refill_at(self.limit.rate, now);
        let requests = requests.min(self.lent);
        self.lent -= requests;
        self.fill = self
            .fill
            .saturating_add(TokenCount::from_requests(requests));
    }

    /// Writes off requests that were lent and are spent, or lapsed.
    ///
    /// The bucket is filled up to now first: the requests may have been spent just
    /// now, so that the room they took can't have been filled before.
    pub fn write_off(&mut self, requests: u64, now: MonotonicTime) {
        self.refill_at(self.limit.rate, now);
        self.lent = self.lent.saturating_sub(requests);
    }

    /// Returns the limit.
    #[must_use]
    pub const fn get_limit(&self) -> BudgetLimit {
        self.limit
    }

    /// Returns the requests that are lent out.
    #[must_use]
    pub const fn get_lent(&self) -> u64 {
        self.lent
    }

    /// Returns whether more is lent out than the burst.
    #[must_use]
    pub fn is_overlent(&self) -> bool {
        TokenCount::from_requests(self.lent) > TokenCount::from_burst(self.limit.burst)
    }

    /// Returns the whole requests in the bucket.
    #[must_use]
    pub fn available(&mut self, now: MonotonicTime) -> u64 {
        self.refill_at(self.limit.rate, now);
        self.fill.whole_requests()
    }

    /// Returns the time until one more request is in the bucket; none if the rate
    /// is zero or the burst that is not lent out has no room for it.
    #[must_use]
    pub fn time_to_next(&mut self, now: MonotonicTime) -> Option<Duration> {
        self.refill_at(self.limit.rate, now);
        let next = TokenCount::from_requests(self.fill.whole_requests() + 1);
        if next > self.room() {
            return None;
        }
        next.saturating_sub(self.fill).time_at(self.limit.rate)
    }

    fn refill_at(&mut self, rate: RequestRate, now: MonotonicTime) {
        let time = now.saturating_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.fill = self.fill.saturating_add(TokenCount::from_rate(rate, time));
        self.cut_fill();
    }

    fn room(&self) -> TokenCount {
        let burst = TokenCount::from_burst(self.limit.burst);
        burst.saturating_sub(TokenCount::from_requests(self.lent))
    }

    fn cut_fill(&mut self) {
        self.fill = self.fill.min(self.room());
    }
}
