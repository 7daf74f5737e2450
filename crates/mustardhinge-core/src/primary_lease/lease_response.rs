use std::collections::HashMap;
use std::time::Duration;

use super::{EpochDigest, GroupLeases, LeaseGrant};
use crate::ids::{InstanceId, ServiceId};
use crate::units::MonotonicTime;

/// Maximum number of changed groups in one response, which has to fit into a datagram. The
/// others follow in the response to the next request, which is sent immediately.
const MAX_CHANGED: usize = 400;

/// The leader's response to a lease request of one instance, for all groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseResponse {
    /// The groups whose state the instance does not know, and all groups without a lease.
    pub changed: Vec<LeaseGrant>,
    /// The digest of all groups' epochs. A matching part renews the leases of its groups, except
    /// of those in `changed`.
    pub digest: EpochDigest,
}

impl LeaseResponse {
    /// Grants leases on the primaries of `groups` to an instance whose digest is `known`.
    ///
    /// Every usable primary counts as leased, even if this response omits it: the instance may
    /// have learned it from another response in the meantime. Unusable primaries are always
    /// included, since the instance would otherwise consider their leases renewed.
    #[must_use]
    pub fn grant(
        groups: &mut HashMap<ServiceId, GroupLeases>,
        instance: &InstanceId,
        known: &EpochDigest,
        lease: Duration,
        now: MonotonicTime,
    ) -> Self {
        let mut digest = EpochDigest::empty_like(known);
        for (service, group) in groups.iter() {
            digest.add(service, group.epoch(), group.primary());
        }
        let mut changed = Vec::new();
        let mut outdated = Vec::new();
        for (service, group) in groups.iter_mut() {
            if !group.renew(instance, lease, now) {
                changed.push(group.to_grant());
            } else if !known.matches_part(&digest, service) {
                outdated.push((EpochDigest::sort_key(service), &*group));
            }
        }
        // Groups of the same part are sent together, so that their digests match next time.
        outdated.sort_unstable_by_key(|(key, _)| *key);
        let capacity = MAX_CHANGED.saturating_sub(changed.len());
        let sent = outdated.into_iter().take(capacity);
        changed.extend(sent.map(|(_, group)| group.to_grant()));
        Self { changed, digest }
    }
}
