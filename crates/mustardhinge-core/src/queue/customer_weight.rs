/// The weight of a customer in the queue of a target, in proportion to its configured rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CustomerWeight(u32);

impl CustomerWeight {
    /// The lowest weight, also that of a customer without a configured rate.
    pub const LOWEST: Self = Self(1);
    /// The highest weight. The product of a weight and a cost in microseconds fits 64 bits.
    const MAX_WEIGHT: f64 = 1e9;

    /// Creates the weight of a customer with this rate, in operations per second.
    #[must_use]
    pub fn from_rate(per_second: f64) -> Self {
        // Clamped to the range, so that the conversion is exact up to the fraction.
        Self(per_second.round().clamp(1.0, Self::MAX_WEIGHT) as u32)
    }

    /// Returns the weight, at least 1.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl Default for CustomerWeight {
    fn default() -> Self {
        Self::LOWEST
    }
}
