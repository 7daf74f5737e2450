use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::{EpochDigest, GroupLeases, LeaseDemand, LeaseGrant};
use crate::ids::ServiceId;
use crate::units::MonotonicTime;

/// The leader's response to a lease request of one instance, for all groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseResponse {
    /// The groups whose state the instance does not know, and all groups without a lease.
    pub changed: Vec<LeaseGrant>,
    /// The digest of all groups' epochs, without the parts that the instance doesn't know. A
    /// matching part renews the leases of its groups, except of those in `changed`.
    pub digest: EpochDigest,
}

impl LeaseResponse {
    /// Grants leases on the primaries of `groups` to an instance.
    ///
    /// Every usable primary counts as leased, even if this response omits it: the instance may
    /// have learned it from another response in the meantime. Unusable primaries are always
    /// included, since the instance would otherwise consider their leases renewed.
    ///
    /// Changed groups come before those of which the instance knows nothing: leases that it holds
    /// would otherwise expire. A minimum is reserved for the others, so that changes that don't end
    /// can't exclude them. Of these, those with wanted groups come first.
    ///
    /// Load pattern: hundreds of instances are started together and request the leases of hundreds
    /// of groups. Whole responses would occupy the leader's network link for seconds.
    #[must_use]
    pub fn grant(
        groups: &mut HashMap<ServiceId, GroupLeases>,
        demand: &LeaseDemand<'_>,
        lease: Duration,
        now: MonotonicTime,
    ) -> Self {
        let known = demand.known;
        let mut digest = EpochDigest::empty_like(known);
        for (service, group) in groups.iter() {
            digest.add(service, group.epoch(), group.primary());
        }
        let wanted = demand.wanted.iter();
        let wanted_parts: HashSet<_> = wanted.map(|service| known.part_index(service)).collect();
        let mut changed = Vec::new();
        let mut outdated = Vec::new();
        for (service, group) in groups.iter_mut() {
            if !group.renew(demand.instance, lease, now) {
                changed.push(group.to_grant());
            } else if !known.matches_part(&digest, service) {
                let is_first = known.is_part_empty(service);
                let is_wanted = wanted_parts.contains(&known.part_index(service));
                let order = (is_first, !is_wanted, EpochDigest::sort_key(service));
                outdated.push((order, &*group));
            }
        }
        // Groups of the same part are sent together, so that their digests match next time.
        outdated.sort_unstable_by_key(|(order, _)| *order);
        let known_count = outdated.partition_point(|((is_first, ..), _)| !is_first);
        let first_groups = outdated.split_off(known_count);
        let left = demand.limit.changed.saturating_sub(changed.len());
        let parts = first_groups.iter();
        let parts = parts.map(|((.., key), _)| known.part_of_key(*key));
        let (known_limit, first_limit) = demand.limit.split(left, known_count, parts);
        let first_sent = first_groups.into_iter().take(first_limit);
        let sent = outdated.into_iter().take(known_limit).chain(first_sent);
        changed.extend(sent.map(|(_, group)| group.to_grant()));
        // The other parts would renew nothing, or leases on groups that are in `changed`.
        digest.retain_matching(known);
        Self { changed, digest }
    }
}
