use std::fmt;
use std::iter::Sum;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::units::{RequestBurst, UnitError};

/// A number of requests, in thousandths of a request.
///
/// Ledgers also grant fractions of a request, since an entry can admit a request from
/// the grants of several zones. The text form is that of a burst, such as `2.500req`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestAmount(u64);

impl RequestAmount {
    /// No request.
    pub const ZERO: Self = Self(0);
    /// One request.
    pub const ONE: Self = Self(Self::PER_REQUEST);
    /// The greatest amount.
    pub const MAX: Self = Self(u64::MAX);

    /// Thousandths in one request.
    const PER_REQUEST: u64 = 1_000;

    /// Creates an amount of whole requests.
    #[must_use]
    pub const fn from_requests(requests: u64) -> Self {
        Self(requests.saturating_mul(Self::PER_REQUEST))
    }

    /// Creates an amount from thousandths of a request.
    #[must_use]
    pub const fn from_millis(thousandths: u64) -> Self {
        Self(thousandths)
    }

    /// Returns the amount in thousandths of a request.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the number of whole requests in the amount.
    #[must_use]
    pub const fn whole_requests(self) -> u64 {
        self.0 / Self::PER_REQUEST
    }

    /// Returns the amount without its fraction of a request.
    #[must_use]
    pub const fn without_fraction(self) -> Self {
        Self::from_requests(self.whole_requests())
    }

    /// Returns half of the amount, rounded down.
    #[must_use]
    pub const fn half(self) -> Self {
        Self(self.0 / 2)
    }

    /// Returns the sum, at most [`Self::MAX`].
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or zero if `other` is greater.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<RequestBurst> for RequestAmount {
    fn from(burst: RequestBurst) -> Self {
        Self(burst.as_millis())
    }
}

impl Sum for RequestAmount {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::ZERO, Self::saturating_add)
    }
}

impl fmt::Display for RequestAmount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        RequestBurst::from_millis(self.0).fmt(f)
    }
}

impl FromStr for RequestAmount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.parse::<RequestBurst>().map(Self::from)
    }
}
