use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use super::GroupEpoch;
use crate::ids::{ServiceId, TargetId};

/// Groups per part; a change of one group resends all groups of its part.
const GROUPS_PER_PART: usize = 8;
/// Maximum number of parts.
const MAX_PARTS: usize = 256;

/// A digest of the epochs and primaries of all groups, divided into parts.
///
/// Parts with equal digests have equal epochs and primaries.
///
/// Load pattern: hundreds of instances renew the leases of dozens to hundreds of groups twice a
/// second, and nearly always nothing has changed. While a fleet starts or many primaries are
/// replaced, each change affects one group, and only the groups of its part are sent again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochDigest(Vec<u64>);

impl EpochDigest {
    /// Creates an empty digest sized for the given number of groups.
    #[must_use]
    pub fn for_groups(groups: usize) -> Self {
        let parts = groups.div_ceil(GROUPS_PER_PART).next_power_of_two();
        let parts = parts.clamp(1, MAX_PARTS);
        Self(vec![0; parts])
    }

    /// Creates an empty digest with as many parts as `other`.
    #[must_use]
    pub fn empty_like(other: &Self) -> Self {
        Self(vec![0; other.0.len().clamp(1, MAX_PARTS)])
    }

    /// Adds a group's epoch; the order of the groups does not matter.
    pub fn add(&mut self, service: &ServiceId, epoch: GroupEpoch, primary: &TargetId) {
        let part = self.part_index(service);
        let mut hasher = DefaultHasher::new();
        (service, epoch, primary).hash(&mut hasher);
        self.0[part] = self.0[part].wrapping_add(hasher.finish());
    }

    /// Returns whether both digests are equal in the part that contains the group.
    #[must_use]
    pub fn matches_part(&self, other: &Self, service: &ServiceId) -> bool {
        self.0.len() == other.0.len() && {
            let part = self.part_index(service);
            self.0[part] == other.0[part]
        }
    }

    /// Empties the parts that differ from those of `other`, which makes them shorter on the wire.
    pub fn retain_matching(&mut self, other: &Self) {
        let has_equal_length = self.0.len() == other.0.len();
        for (index, part) in self.0.iter_mut().enumerate() {
            if !has_equal_length || *part != other.0[index] {
                *part = 0;
            }
        }
    }

    /// Returns whether the part that contains the group has no groups.
    #[must_use]
    pub fn is_part_empty(&self, service: &ServiceId) -> bool {
        let part = self.0.get(self.part_index(service));
        part.is_none_or(|part| *part == 0)
    }

    /// Returns the index of the part that contains the group.
    pub(super) fn part_index(&self, service: &ServiceId) -> usize {
        self.part_of_key(Self::sort_key(service))
    }

    /// Returns the index of the part that contains the group with this sort key.
    pub(super) fn part_of_key(&self, key: u64) -> usize {
        // The result is less than the number of parts. Doubling that number splits each part.
        ((u128::from(key) * self.0.len() as u128) >> 64) as usize
    }

    /// Returns the sort key by which groups of the same part are adjacent, for any number of
    /// parts.
    #[must_use]
    pub fn sort_key(service: &ServiceId) -> u64 {
        let mut hasher = DefaultHasher::new();
        service.hash(&mut hasher);
        hasher.finish()
    }
}
