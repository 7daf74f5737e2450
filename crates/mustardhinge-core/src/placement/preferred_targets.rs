/// Maximum number of targets of a group that affinity distinguishes; groups have about three.
pub(super) const MAX_TARGETS: usize = 64;

/// The targets of a group that a customer's reads prefer, by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PreferredTargets(u64);

impl PreferredTargets {
    /// Adds a target. Indices beyond the supported maximum are ignored.
    pub(super) const fn insert(&mut self, index: usize) {
        if index < MAX_TARGETS {
            self.0 |= 1 << index;
        }
    }

    /// Returns whether the target at `index` is preferred.
    #[must_use]
    pub const fn contains(self, index: usize) -> bool {
        index < MAX_TARGETS && self.0 & (1 << index) != 0
    }

    /// Returns the number of preferred targets.
    #[must_use]
    pub const fn count(self) -> u32 {
        self.0.count_ones()
    }
}
