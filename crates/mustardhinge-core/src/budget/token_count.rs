use std::time::Duration;

use super::RequestAmount;
use crate::units::RequestRate;

/// An amount of budget, in thousand-millionths of a request.
///
/// The unit makes a rate in thousandths times microseconds exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TokenCount(u64);

impl TokenCount {
    /// No budget.
    pub const ZERO: Self = Self(0);

    /// Units to a thousandth of a request.
    const PER_MILLIREQUEST: u64 = 1_000_000;

    /// Makes the budget that pays for an amount of requests.
    #[must_use]
    pub const fn from_amount(amount: RequestAmount) -> Self {
        Self(amount.as_millis().saturating_mul(Self::PER_MILLIREQUEST))
    }

    /// Makes the budget that a rate gives in a time.
    #[must_use]
    pub fn from_rate(rate: RequestRate, time: Duration) -> Self {
        let units = u128::from(rate.as_millis()).saturating_mul(time.as_micros());
        Self(u64::try_from(units).unwrap_or(u64::MAX))
    }

    /// Returns the requests that the budget pays for, in whole thousandths.
    #[must_use]
    pub const fn as_amount(self) -> RequestAmount {
        RequestAmount::from_millis(self.0 / Self::PER_MILLIREQUEST)
    }

    /// Returns the sum, bounded by the greatest amount.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or nothing if `other` is greater.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the time in which a rate gives this budget; none at rate zero.
    #[must_use]
    pub fn time_at(self, rate: RequestRate) -> Option<Duration> {
        let per_micro = rate.as_millis();
        (per_micro > 0).then(|| Duration::from_micros(self.0.div_ceil(per_micro)))
    }
}
