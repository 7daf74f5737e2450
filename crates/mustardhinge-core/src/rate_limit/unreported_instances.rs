/// The numbers of instances that a leader has received a request from, and of those that may still
/// use the shares of an earlier leader.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnreportedInstances {
    /// The instances that may exist.
    pub(super) listed: usize,
    /// The instances that have sent a request.
    pub(super) heard: usize,
    /// The instances that have not, while their shares are reserved.
    pub(super) count: usize,
}

impl UnreportedInstances {
    /// Returns the share of a customer's rate that these instances may use, if `reporting`
    /// instances have reported shares that add up to `reported`.
    ///
    /// An instance that sent a request without a report on the customer holds no more than
    /// `least_share` of an even share.
    pub(super) fn reserved_share(
        &self,
        (reporting, reported): (usize, f64),
        least_share: f64,
    ) -> f64 {
        if self.count == 0 {
            return 0.0;
        }
        let silent = self.heard.saturating_sub(reporting) as f64;
        let accounted = reported + silent * least_share / self.listed.max(1) as f64;
        (1.0 - accounted).clamp(0.0, 1.0)
    }

    /// Returns the fraction of all instances that these are.
    pub(super) fn fraction(&self) -> f64 {
        self.count as f64 / self.listed.max(1) as f64
    }
}
