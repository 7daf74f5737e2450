/// Numbers of listed targets, which limit how many of them get a reduced share of reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReductionLimits {
    /// The number of targets in the availability zone, of all groups.
    pub zone_targets: usize,
    /// The number of targets in the group.
    pub group_targets: usize,
}

impl ReductionLimits {
    /// Returns whether one more target may be reduced besides `in_zone` of its zone and `in_group`
    /// of its group: at most a third of a zone, and never the last target of a group.
    #[must_use]
    pub const fn allow(self, in_zone: usize, in_group: usize) -> bool {
        in_zone < self.zone_targets / 3 && in_group + 1 < self.group_targets
    }
}
