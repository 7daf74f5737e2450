use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// How long a lease lasts without a renewal.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTerms {
    /// The term of the flexible part of the share.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "flexible_ms")]
    pub flexible: Duration,
    /// The term of the floor of the share.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "floor_ms")]
    pub floor: Duration,
}

impl LeaseTerms {
    /// Divisor of a term; the holder leaves the quotient unused as a margin for clocks that
    /// run at different speeds.
    const CLOCK_MARGIN_DIVISOR: u32 = 16;
    /// The number of renewals within the shorter term.
    const RENEWALS_PER_TERM: u32 = 3;

    /// Returns how long the holder may use the flexible part.
    #[must_use]
    pub fn flexible_validity(&self) -> Duration {
        self.flexible - self.flexible / Self::CLOCK_MARGIN_DIVISOR
    }

    /// Returns how long the holder may use the floor.
    #[must_use]
    pub fn floor_validity(&self) -> Duration {
        self.floor - self.floor / Self::CLOCK_MARGIN_DIVISOR
    }

    /// Returns the time between two renewals.
    #[must_use]
    pub fn renewal_period(&self) -> Duration {
        self.flexible.min(self.floor) / Self::RENEWALS_PER_TERM
    }
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self {
            flexible: Duration::from_secs(10),
            floor: Duration::from_secs(60 * 60),
        }
    }
}
