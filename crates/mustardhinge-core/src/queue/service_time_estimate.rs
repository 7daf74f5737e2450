use std::time::Duration;

/// Inverse weight of a new sample: it contributes one part in this many to the moving average.
const AVERAGE_WEIGHT: u64 = 8;

/// An exponential moving average of the service time per unit of cost.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimeEstimate {
    nanos_per_unit: u64,
}

impl ServiceTimeEstimate {
    /// Creates an estimate from an assumed time per unit of cost.
    #[must_use]
    pub fn new(per_unit: Duration) -> Self {
        Self {
            nanos_per_unit: nanos_of(per_unit),
        }
    }

    /// Records the time that work of this cost took.
    pub fn record(&mut self, cost: u32, took: Duration) {
        let seen = nanos_of(took) / u64::from(cost.max(1));
        let kept = self.nanos_per_unit / AVERAGE_WEIGHT * (AVERAGE_WEIGHT - 1);
        self.nanos_per_unit = kept.saturating_add(seen / AVERAGE_WEIGHT);
    }

    /// Returns the estimated time for work of this cost.
    #[must_use]
    pub fn time_for(&self, cost: u64) -> Duration {
        Duration::from_nanos(self.nanos_per_unit.saturating_mul(cost))
    }
}

fn nanos_of(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
