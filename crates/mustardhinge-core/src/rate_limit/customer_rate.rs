/// Seconds of the rate by which all allowances together may exceed the burst; small against
/// the tenth of five seconds that a customer may get beyond its limit.
const ALLOWANCE_SECONDS: f64 = 0.4;
/// Operations by which they may exceed it whatever the rate: less than the twenty that a
/// customer may get beyond its limit in five seconds.
const ALLOWANCE_EXTRA: f64 = 14.0;

/// A customer's limits over all instances together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerRate {
    /// Operations a second.
    pub rate: f64,
    /// Operations at once.
    pub burst: f64,
}

impl CustomerRate {
    /// Returns how many operations all allowances together may hold.
    #[must_use]
    pub fn allowances(&self) -> f64 {
        self.burst + self.rate * ALLOWANCE_SECONDS + ALLOWANCE_EXTRA
    }
}
