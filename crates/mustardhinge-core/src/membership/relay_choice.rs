use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{InstanceId, ZoneId};
use crate::units::MonotonicTime;

/// An instance that sent no request for this long is not chosen as a relay: two of its
/// requests are missing.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// An instance that could relay the contents of the platform's store to others.
#[derive(Clone, Copy, Debug)]
pub struct RelayCandidate<'a> {
    /// The instance.
    pub instance: &'a InstanceId,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// When the last request from it was received.
    pub last_received_at: MonotonicTime,
    /// Whether it has a configuration and, as far as it knows, can reach the store.
    pub can_relay: bool,
    /// Whether it is the leader, which watches the store in any case.
    pub is_leader: bool,
}

/// Chooses the instance of each availability zone that watches the platform's store.
///
/// Load pattern: each change in the store wakes every watch, but the number of calls to the
/// store must grow more slowly than the fleet. Therefore one instance of each availability
/// zone, the relay, watches the store, and the others fetch from it the changes of which
/// they are notified. Calls grow with the number of zones and changes, and a configuration
/// crosses from zone to zone once.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayChoice;

impl RelayChoice {
    /// Returns the relay of each availability zone.
    ///
    /// A zone without a usable candidate is missing from the map: its instances watch the
    /// store themselves.
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
