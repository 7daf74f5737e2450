use std::time::Duration;

use super::RequestAmount;
use crate::units::RequestRate;

/// An amount of budget, in billionths of a request.
///
/// In this unit, a rate in thousandths of a request per second times a duration in
/// microseconds is exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TokenCount(u64);

impl TokenCount {
    /// No budget.
    pub const ZERO: Self = Self(0);

    /// Units in a thousandth of a request.
    const PER_MILLIREQUEST: u64 = 1_000_000;

    /// Creates the budget for an amount of requests.
    #[must_use]
    pub const fn from_amount(amount: RequestAmount) -> Self {
        Self(amount.as_millis().saturating_mul(Self::PER_MILLIREQUEST))
    }

    /// Creates the budget that accrues at a rate within a duration.
    #[must_use]
    pub fn from_rate(rate: RequestRate, time: Duration) -> Self {
        let units = u128::from(rate.as_millis()).saturating_mul(time.as_micros());
        Self(u64::try_from(units).unwrap_or(u64::MAX))
    }

    /// Returns the amount of requests, rounded down to thousandths.
    #[must_use]
    pub const fn as_amount(self) -> RequestAmount {
        RequestAmount::from_millis(self.0 / Self::PER_MILLIREQUEST)
    }

    /// Returns the sum, or the greatest count on overflow.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or zero if `other` is greater.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the time in which this budget accrues at a rate, or `None` at rate zero.
    #[must_use]
    pub fn time_at(self, rate: RequestRate) -> Option<Duration> {
        let per_micro = rate.as_millis();
        (per_micro > 0).then(|| Duration::from_micros(self.0.div_ceil(per_micro)))
    }
}
