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
    /// The share of instances without a request, which they still use themselves.
    reserved: f64,
}

impl FillRecovery {
    /// Adds the level that an instance with a `share` of the rate reports and the level that it was
    /// granted.
    pub(super) fn add(&mut self, (reported, granted): (f64, f64), share: f64) {
        self.granted = Some(self.granted.map_or(granted, |least| least.min(granted)));
        self.sum += share * reported;
        self.share += share;
    }

    /// Sets the share that is reserved for instances without a request.
    pub(super) const fn reserve(&mut self, reserved: f64) {
        self.reserved = reserved;
    }

    /// Returns the part of the level that is reserved, if it is unused.
    pub(super) fn reserved_level(&self, limits: CustomerRate) -> f64 {
        self.reserved * self.granted.unwrap_or(limits.burst)
    }

    /// Returns the level of the bucket without what was used since the first report.
    pub(super) fn level(&self, limits: CustomerRate) -> f64 {
        let unused_share = (1.0 - self.share).max(LEAST_UNUSED_SHARE);
        let granted = self.granted.unwrap_or(limits.burst);
        let sum = self.sum + (unused_share - self.reserved) * granted;
        (sum / (self.share + unused_share)).min(limits.burst)
    }
}
