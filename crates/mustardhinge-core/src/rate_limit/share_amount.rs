use std::ops::{AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// Thousandths of an operation in one operation.
const PER_OPERATION: u64 = 1_000;

/// A part of a customer's rate, in thousandths of an operation.
///
/// Amounts are integers, so that what one instance deducts is exactly what another one adds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShareAmount(u64);

impl ShareAmount {
    /// Nothing.
    pub const ZERO: Self = Self(0);

    /// Creates an amount of whole operations.
    #[must_use]
    pub const fn from_operations(operations: u32) -> Self {
        Self(operations as u64 * PER_OPERATION)
    }

    /// Creates the largest amount that is not more than a number of operations.
    #[must_use]
    pub fn at_most(operations: f64) -> Self {
        // The cast saturates; negative numbers become zero.
        Self((operations * PER_OPERATION as f64).floor() as u64)
    }

    /// Returns the number of operations, with fractions.
    #[must_use]
    pub const fn as_operations(self) -> f64 {
        // Amounts are far below the exact range of the type.
        self.0 as f64 / PER_OPERATION as f64
    }

    /// Returns the number of whole operations.
    #[must_use]
    pub fn whole_operations(self) -> u32 {
        u32::try_from(self.0 / PER_OPERATION).unwrap_or(u32::MAX)
    }

    /// Returns whether the amount is zero.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl AddAssign for ShareAmount {
    fn add_assign(&mut self, other: Self) {
        self.0 = self.0.saturating_add(other.0);
    }
}

impl SubAssign for ShareAmount {
    fn sub_assign(&mut self, other: Self) {
        self.0 = self.0.saturating_sub(other.0);
    }
}
