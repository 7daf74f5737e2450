use std::collections::HashMap;
use std::time::Duration;

use super::{EpochDigest, GroupLeases, LeaseGrant};
use crate::ids::{InstanceId, ServiceId};
use crate::units::MonotonicTime;

/// Most groups that are told anew in one answer, which has to fit into a datagram. The others
/// follow with the next question, which comes at once.
const MAX_CHANGED: usize = 400;

/// The leader's answer to one instance about all groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseResponse {
    /// The groups that the instance did not name rightly, and all that are not lent.
    pub changed: Vec<LeaseGrant>,
    /// The epochs of all groups: what the instance knows as this says is lent again, unless it
    /// stands among the changed ones.
    pub digest: EpochDigest,
}

impl LeaseResponse {
    /// Lends the primaries of `desks` to an instance that knows `known`.
    ///
    /// All that may be used are counted as lent, also where the instance is not told: it may
    /// have learned them by another answer meanwhile. What may not be used is always told, since
    /// the instance would take it for lent otherwise.
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
        // Whole parts, so that their digests agree the next time.
        outdated.sort_unstable_by_key(|(key, _)| *key);
        let capacity = MAX_CHANGED.saturating_sub(changed.len());
        let sent = outdated.into_iter().take(capacity);
        changed.extend(sent.map(|(_, group)| group.to_grant()));
        Self { changed, digest }
    }
}
