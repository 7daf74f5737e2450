use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::{RelayCandidate, RelayChoice};
use crate::gateway::GatewayCandidate;
use crate::ids::{InstanceId, ZoneId};
use crate::primary_lease::{Voter, VoterCandidate, VoterChoice};
use crate::units::MonotonicTime;

/// An instance counts towards the division of connections and rates for this long after its
/// last request; longer than a restart takes.
const ENTRY_TTL: Duration = Duration::from_secs(15);
/// Minimum interval between refreshes of the values derived from all entries; a tenth of the
/// interval between two requests of an instance.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// An instance that sent no request for this long can't be a gateway: three of its requests are
/// missing. Instances that forward to it detect its failure sooner; with a shorter timeout,
/// gateways would move whenever two requests are lost.
const GATEWAY_TIMEOUT: Duration = Duration::from_millis(1_700);

/// What the leader knows of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterEntry {
    /// The address at which it receives messages and serves its state to others.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it can relay the contents of the store.
    pub can_relay: bool,
    /// Its weight as a gateway, relative to the others; 0 excludes it.
    pub weight: u16,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// When the last request from it was received.
    pub last_received_at: MonotonicTime,
}

/// The leader's table of running instances, with the values derived from all of them.
///
/// Load pattern: each of thousands of instances requests twice a second the number of
/// instances, its own index and its relay, which rarely change. They are computed for all
/// instances at once, so that the cost of a response does not depend on their number.
#[derive(Clone, Debug, Default)]
pub struct InstanceRoster {
    entries: BTreeMap<InstanceId, RosterEntry>,
    indices: HashMap<InstanceId, usize>,
    relays: HashMap<ZoneId, (InstanceId, SocketAddr)>,
    /// The instance of each zone that keeps its share pool.
    pool_keepers: HashMap<ZoneId, (InstanceId, SocketAddr)>,
    refreshed_at: Option<MonotonicTime>,
}

impl InstanceRoster {
    /// Records the state that an instance sent with its last request.
    pub fn record(&mut self, id: &InstanceId, entry: RosterEntry) {
        if self.entries.insert(id.clone(), entry).is_none() {
            self.refreshed_at = None;
        }
    }

    /// Drops expired entries and recomputes the derived values.
    ///
    /// Does nothing if the last refresh is recent and no instance was added since.
    pub fn refresh(&mut self, leader: &InstanceId, now: MonotonicTime) {
        let is_due = |at| now.saturating_since(at) >= REFRESH_INTERVAL;
        if !self.refreshed_at.is_none_or(is_due) {
            return;
        }
        self.refreshed_at = Some(now);
        self.entries
            .retain(|_, entry| now.saturating_since(entry.last_received_at) < ENTRY_TTL);
        let ids = self.entries.keys().cloned();
        self.indices = ids.enumerate().map(|(index, id)| (id, index)).collect();
        let candidates = self.entries.iter().map(|(instance, entry)| RelayCandidate {
            instance,
            zone: &entry.zone,
            last_received_at: entry.last_received_at,
            can_relay: entry.can_relay,
            is_leader: instance == leader,
        });
        // The pool is needed when the leader is lost, and needs no store.
        let others = candidates.clone().filter(|candidate| !candidate.is_leader);
        let keepers = others.map(|candidate| RelayCandidate {
            can_relay: true,
            ..candidate
        });
        let with_address = |(zone, instance): (&ZoneId, &InstanceId)| {
            let address = self.entries[instance].address;
            (zone.clone(), (instance.clone(), address))
        };
        let pool_keepers = RelayChoice::choose(keepers, now);
        let relays = RelayChoice::choose(candidates, now);
        self.pool_keepers = pool_keepers.into_iter().map(with_address).collect();
        self.relays = relays.into_iter().map(with_address).collect();
    }

    /// Returns the number of instances at the last refresh.
    #[must_use]
    pub fn count(&self) -> usize {
        self.indices.len()
    }

    /// Returns the index of an instance in the order of the ids, or the number of instances if
    /// it is unknown.
    #[must_use]
    pub fn index_of(&self, id: &InstanceId) -> usize {
        let index = self.indices.get(id).copied();
        index.unwrap_or(self.indices.len())
    }

    /// Returns the address of the relay from which the instance `requester` of `zone` fetches
    /// the contents of the store, or `None` if it must watch the store itself.
    #[must_use]
    pub fn relay_for(&self, requester: &InstanceId, zone: &ZoneId) -> Option<SocketAddr> {
        let (relay, address) = self.relays.get(zone)?;
        (relay != requester).then_some(*address)
    }

    /// Returns the addresses of the instances that watch the store for those of their zones.
    pub fn relay_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.relays.values().map(|(_, address)| *address)
    }

    /// Returns the address of the instance that keeps the share pool for the instance `requester`
    /// of `zone`, or `None` if it keeps a pool itself. It is not the leader if the zone has
    /// another responsive instance.
    #[must_use]
    pub fn pool_keeper_for(&self, requester: &InstanceId, zone: &ZoneId) -> Option<SocketAddr> {
        let (keeper, address) = self.pool_keepers.get(zone)?;
        (keeper != requester).then_some(*address)
    }

    /// Chooses the leader's voters, keeping the `present` ones where possible.
    #[must_use]
    pub fn voters(&self, present: &[Voter], now: MonotonicTime) -> Vec<Voter> {
        let candidates = self.entries.iter().map(|(id, entry)| VoterCandidate {
            voter: Voter {
                instance: id.clone(),
                incarnation: entry.incarnation,
                address: entry.address,
            },
            zone: &entry.zone,
            last_received_at: entry.last_received_at,
        });
        VoterChoice::choose(candidates, present, now)
    }

    /// Returns the instances that may serve as gateways.
    pub fn gateway_candidates(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = GatewayCandidate<'_>> {
        let responsive = self.entries.iter().filter(move |(_, entry)| {
            now.saturating_since(entry.last_received_at) < GATEWAY_TIMEOUT && entry.weight > 0
        });
        responsive.map(|(instance, entry)| GatewayCandidate {
            instance,
            zone: &entry.zone,
            address: entry.address,
            weight: entry.weight,
        })
    }

    /// Returns the address at which an instance receives messages.
    #[must_use]
    pub fn address_of(&self, id: &InstanceId) -> Option<SocketAddr> {
        self.entries.get(id).map(|entry| entry.address)
    }

    /// Returns the addresses at which all instances receive messages.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.values().map(|entry| entry.address).collect()
    }
}
