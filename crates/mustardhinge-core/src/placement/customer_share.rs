/// Part of all configured customer rates that one customer has, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct CustomerShare(f64);

impl CustomerShare {
    /// Returns the share of a customer with `rate_per_s`, out of the sum over all customers.
    #[must_use]
    pub fn new(rate_per_s: f64, total_per_s: f64) -> Self {
        if total_per_s > 0.0 {
            Self((rate_per_s / total_per_s).clamp(0.0, 1.0))
        } else {
            Self::default()
        }
    }

    /// Returns the share as a number from 0 to 1.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}
