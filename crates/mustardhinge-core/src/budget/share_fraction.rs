use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::units::UnitError;

/// A fraction of a customer's rate and burst, in millionths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ShareFraction(u32);

impl ShareFraction {
    /// The whole of a customer's rate and burst.
    pub const WHOLE: Self = Self(1_000_000);
    /// An empty share.
    pub const NONE: Self = Self(0);

    /// Creates a fraction from millionths, at most the whole.
    #[must_use]
    pub const fn from_millionths(millionths: u32) -> Self {
        if millionths > Self::WHOLE.0 {
            return Self::WHOLE;
        }
        Self(millionths)
    }

    /// Returns the fraction in millionths.
    #[must_use]
    pub const fn as_millionths(self) -> u32 {
        self.0
    }

    /// Returns the sum, or `None` if it is more than the whole.
    #[must_use]
    pub fn checked_add(self, other: Self) -> Option<Self> {
        let sum = self.0.checked_add(other.0)?;
        (sum <= Self::WHOLE.0).then_some(Self(sum))
    }

    /// Returns the difference, or an empty share if `other` is greater.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns this fraction of a number, rounded down.
    #[must_use]
    pub fn of(self, whole: u64) -> u64 {
        let part = u128::from(whole) * u128::from(self.0) / u128::from(Self::WHOLE.0);
        u64::try_from(part).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for ShareFraction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ppm", self.0)
    }
}

impl FromStr for ShareFraction {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let malformed = || UnitError::new(text, "a share from 0ppm to 1000000ppm");
        let number = text.strip_suffix("ppm").ok_or_else(malformed)?;
        let millionths: u32 = number.parse().map_err(|_| malformed())?;
        if millionths > Self::WHOLE.0 {
            return Err(malformed());
        }
        Ok(Self(millionths))
    }
}
