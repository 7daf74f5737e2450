use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{InstanceId, ZoneId};
use crate::units::MonotonicTime;

/// An instance that was not heard for this long passes nothing on: two of its asks are missing.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// An instance that could watch the platform's store for others.
#[derive(Clone, Copy, Debug)]
pub struct RelayCandidate<'a> {
    /// The instance.
    pub instance: &'a InstanceId,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// When it was last heard.
    pub last_received_at: MonotonicTime,
    /// Whether it knows a configuration and the store answers it, as far as it knows.
    pub can_relay: bool,
    /// Whether it holds the duty, and watches the store anyway.
    pub is_leader: bool,
}

/// Chooses who watches the platform's store on behalf of whom.
///
/// Load pattern: each change in the store wakes every watch of it, and the store's calls grow
/// more slowly than the fleet. One instance of each availability zone watches, and the
/// others fetch from it what they are told is new; so calls grow with zones and changes, and
/// configurations cross from zone to zone once.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayChoice;

impl RelayChoice {
    /// Returns who watches for each availability zone. A zone that is missing has nobody whose
    /// word would help: its instances watch themselves.
    #[must_use]
    pub fn choose<'a>(
        candidates: impl Iterator<Item = RelayCandidate<'a>>,
        now: MonotonicTime,
    ) -> HashMap<&'a ZoneId, &'a InstanceId> {
        let usable = candidates.filter(|candidate| {
            let is_responsive = now.saturating_since(candidate.last_received_at) < RELAY_TIMEOUT;
            candidate.can_relay && is_responsive
        });
        let mut chosen = HashMap::new();
        for candidate in usable {
            let rank = (!candidate.is_leader, candidate.instance);
            let best = chosen.entry(candidate.zone).or_insert(rank);
            *best = rank.min(*best);
        }
        let relays = chosen.into_iter();
        relays
            .map(|(zone, (_, instance))| (zone, instance))
            .collect()
    }
}
