use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use super::GroupEpoch;
use crate::ids::{ServiceId, TargetId};

/// Groups that share a digest: what is told again when one of them has changed.
const GROUPS_PER_PART: usize = 8;
/// Most digests of one instance.
const MAX_PARTS: usize = 256;

/// Stands for the epochs and primaries of several groups, a part of them at a time: equal digests
/// mean equal epochs.
///
/// Load pattern: hundreds of instances renew the leases of dozens to hundreds of groups twice a
/// second, and nearly always nothing has changed. While a fleet starts, or many primaries are
/// replaced, each change concerns one group, and only those that share its digest are told
/// again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochDigest(Vec<u64>);

impl EpochDigest {
    /// Returns the digests of so many groups that have no epochs yet.
    #[must_use]
    pub fn for_groups(groups: usize) -> Self {
        let parts = groups.div_ceil(GROUPS_PER_PART).next_power_of_two();
        let parts = parts.clamp(1, MAX_PARTS);
        Self(vec![0; parts])
    }

    /// Returns digests in the same parts, of groups that have no epochs yet.
    #[must_use]
    pub fn empty_like(other: &Self) -> Self {
        Self(vec![0; other.0.len().clamp(1, MAX_PARTS)])
    }

    /// Adds a group's epoch, in whatever order they come.
    pub fn add(&mut self, service: &ServiceId, epoch: GroupEpoch, primary: &TargetId) {
        let part = self.part_index(service);
        let mut hasher = DefaultHasher::new();
        (service, epoch, primary).hash(&mut hasher);
        self.0[part] = self.0[part].wrapping_add(hasher.finish());
    }

    /// Returns whether both say the same about the part that a group is in.
    #[must_use]
    pub fn matches_part(&self, other: &Self, service: &ServiceId) -> bool {
        self.0.len() == other.0.len() && {
            let part = self.part_index(service);
            self.0[part] == other.0[part]
        }
    }

    fn part_index(&self, service: &ServiceId) -> usize {
        // Below the count of the parts, which is small. With more parts each is divided.
        ((u128::from(Self::sort_key(service)) * self.0.len() as u128) >> 64) as usize
    }

    /// Returns by what groups are ordered, so that those of one part follow one another whatever
    /// the count of the parts.
    #[must_use]
    pub fn sort_key(service: &ServiceId) -> u64 {
        let mut hasher = DefaultHasher::new();
        service.hash(&mut hasher);
        hasher.finish()
    }
}
