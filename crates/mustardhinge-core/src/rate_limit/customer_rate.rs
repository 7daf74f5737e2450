/// Seconds of the rate by which the sum of all allowances may exceed the burst; less than the
/// 10 % of a five-second window that a customer may get beyond its limit.
const ALLOWANCE_SECONDS: f64 = 0.4;
/// Operations by which the sum may exceed the burst in addition, for any rate; less than the 20
/// operations that a customer may get beyond its limit in five seconds.
const ALLOWANCE_EXTRA: f64 = 14.0;

/// The limits of a customer over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerRate {
    /// Operations per second.
    pub rate: f64,
    /// Maximum burst, in operations.
    pub burst: f64,
}

impl CustomerRate {
    /// Returns the maximum sum of all allowances, in operations.
    #[must_use]
    pub fn allowances(&self) -> f64 {
        self.burst + self.rate * ALLOWANCE_SECONDS + ALLOWANCE_EXTRA
    }

    /// Returns what the customer may still use over all instances without a leader, if its
    /// bucket's level is `level`.
    ///
    /// A negative level reduces it, because the overuse is within the same windows.
    #[must_use]
    pub fn usable(&self, level: f64) -> f64 {
        (level + self.rate * ALLOWANCE_SECONDS + ALLOWANCE_EXTRA).max(0.0)
    }
}
