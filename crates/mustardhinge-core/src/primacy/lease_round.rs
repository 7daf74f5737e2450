use std::collections::HashMap;
use std::time::Duration;

use super::{EpochDigest, EpochGrant, GroupDesk};
use crate::ids::{InstanceId, ServiceId};
use crate::units::MonotonicTime;

/// Most groups that are told anew in one answer, which has to fit into a datagram. The others
/// follow with the next question, which comes at once.
const MOST_TOLD: usize = 400;

/// The leader's answer to one instance about all groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseRound {
    /// The groups that the instance did not name rightly, and all that are not lent.
    pub changed: Vec<EpochGrant>,
    /// The epochs of all groups: what the instance knows as this says is lent again, unless it
    /// stands among the changed ones.
    pub same: EpochDigest,
}

impl LeaseRound {
    /// Lends the primaries of `desks` to an instance that knows `known`.
    ///
    /// All that may be used are counted as lent, also where the instance is not told: it may
    /// have learned them by another answer meanwhile. What may not be used is always told, since
    /// the instance would take it for lent otherwise.
    #[must_use]
    pub fn lend(
        desks: &mut HashMap<ServiceId, GroupDesk>,
        instance: &InstanceId,
        known: &EpochDigest,
        lease: Duration,
        now: MonotonicTime,
    ) -> Self {
        let mut same = EpochDigest::like(known);
        for (service, desk) in desks.iter() {
            same.add(service, desk.epoch(), desk.primary());
        }
        let mut changed = Vec::new();
        let mut untold = Vec::new();
        for (service, desk) in desks.iter_mut() {
            if !desk.renew(instance, lease, now) {
                changed.push(desk.to_grant());
            } else if !known.agrees(&same, service) {
                untold.push((EpochDigest::order_of(service), &*desk));
            }
        }
        // Whole parts, so that their digests agree the next time.
        untold.sort_unstable_by_key(|(order, _)| *order);
        let room = MOST_TOLD.saturating_sub(changed.len());
        let told = untold.into_iter().take(room);
        changed.extend(told.map(|(_, desk)| desk.to_grant()));
        Self { changed, same }
    }
}
