use super::preferred_targets::MAX_TARGETS;
use super::{CustomerShare, PreferredTargets};
use crate::ids::{CustomerId, TargetId};
use crate::membership::member_hash;

/// Excess over the mean load that the affinity of one customer may cause at a target. The load of
/// the busiest target should not exceed 1.2 times the mean.
const MAX_EXCESS: f64 = 0.2;

/// Chooses the targets of a group that a customer's reads prefer.
///
/// Load pattern: a connection belongs to one customer, and all instances together have fewer
/// connections to a target than there are customers. If all instances send a customer's reads to
/// the same target, the customer needs connections to that target only.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetAffinity;

impl TargetAffinity {
    /// Returns the index of the customer's preferred target, which is the same on all instances.
    #[must_use]
    pub fn prefer<'a>(
        customer: &CustomerId,
        targets: impl IntoIterator<Item = &'a TargetId>,
    ) -> Option<usize> {
        let ranked = targets.into_iter().enumerate().map(|(index, target)| {
            let key = customer.as_str().as_bytes();
            (member_hash(key, target.as_str().as_bytes()), index)
        });
        ranked.max().map(|(_, index)| index)
    }

    /// Returns as many preferred targets as the customer's share of the load requires. They are
    /// the same on all instances, whatever the order of the targets.
    #[must_use]
    pub fn prefer_by_share<'a>(
        customer: &CustomerId,
        share: CustomerShare,
        targets: impl IntoIterator<Item = (usize, &'a TargetId)>,
    ) -> PreferredTargets {
        let key = customer.as_str().as_bytes();
        let targets = targets.into_iter().take(MAX_TARGETS);
        let mut ranked: Vec<(u64, usize)> = targets
            .map(|(index, target)| (member_hash(key, target.as_str().as_bytes()), index))
            .collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        let mut preferred = PreferredTargets::default();
        for (_, index) in ranked.iter().take(Self::width(share, ranked.len())) {
            preferred.insert(*index);
        }
        preferred
    }

    /// Returns the number of targets that a customer prefers out of `targets`.
    ///
    /// With the load of the other customers spread evenly, a customer with share `s` loads each of
    /// its `k` preferred targets with `s / k` and all `n` with `(1 - s) / n`. The number is the
    /// lowest for which no target exceeds the mean by more than the allowed excess.
    #[must_use]
    pub fn width(share: CustomerShare, targets: usize) -> usize {
        let share = share.get();
        let width = share * targets as f64 / (share + MAX_EXCESS);
        // The width is at most the number of targets.
        (width.ceil() as usize).clamp(1, targets.max(1))
    }
}
