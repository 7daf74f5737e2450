use super::CustomerRate;

/// Number of assumed reports of a full bucket. Without them, a single instance that had more than
/// its share of the operations closes the bucket of a customer within its rate; with 8, the replay
/// of repeated outages exceeded the bound of a window.
const ASSUMED_REPORTS: f64 = 3.0;

/// The level of a customer's bucket that a new leader works out from the levels that instances
/// report.
///
/// Each isolated instance extrapolates its own usage to the whole by its share. The mean evens
/// out that a small customer's operations are unevenly distributed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FillRecovery {
    reports: f64,
    sum: f64,
}

impl FillRecovery {
    /// Adds the level that an instance reports, and returns by how much the bucket changes.
    pub(super) fn add(&mut self, reported: f64, limits: CustomerRate) -> f64 {
        let before = self.mean(limits);
        self.sum += reported.min(limits.burst);
        self.reports += 1.0;
        self.mean(limits) - before
    }

    fn mean(&self, limits: CustomerRate) -> f64 {
        let sum = self.sum + ASSUMED_REPORTS * limits.burst;
        sum / (self.reports + ASSUMED_REPORTS)
    }
}
