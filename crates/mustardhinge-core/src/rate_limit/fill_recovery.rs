use super::CustomerRate;

/// Least share that is assumed to be unused. Without any, a single instance that had more than its
/// share of the operations closes the bucket of a customer within its rate. Instances that had no
/// operation for a while don't report, though others borrowed what they lent; they hold about a
/// quarter of the shares.
const LEAST_UNUSED_SHARE: f64 = 0.25;

/// The level of a customer's bucket that a new leader works out from the levels that instances
/// report.
///
/// Each isolated instance extrapolates its own usage to the whole by its share, which is the weight
/// of its level. Shares that are not reported count as unused since the lowest level that the
/// earlier leader granted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FillRecovery {
    share: f64,
    /// Sum of the levels, each multiplied by its share.
    sum: f64,
    /// The lowest level that the earlier leader granted to a reporting instance.
    granted: Option<f64>,
}

impl FillRecovery {
    /// Adds the level that an instance with a `share` of the rate reports and the level that it was
    /// granted, and returns by how much the bucket changes.
    pub(super) fn add(
        &mut self,
        (reported, granted): (f64, f64),
        share: f64,
        limits: CustomerRate,
    ) -> f64 {
        let before = self.mean(limits);
        self.granted = Some(self.granted.map_or(granted, |least| least.min(granted)));
        self.sum += share * reported;
        self.share += share;
        self.mean(limits) - before
    }

    fn mean(&self, limits: CustomerRate) -> f64 {
        let unused_share = (1.0 - self.share).max(LEAST_UNUSED_SHARE);
        let sum = self.sum + unused_share * self.granted.unwrap_or(limits.burst);
        (sum / (self.share + unused_share)).min(limits.burst)
    }
}
