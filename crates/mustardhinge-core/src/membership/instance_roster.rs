use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::{FeedRelay, RelayCandidate};
use crate::gateway::GatewayCandidate;
use crate::ids::{InstanceId, ZoneId};
use crate::primary_lease::{Voter, VoterCandidate, VoterChoice};
use crate::units::MonotonicTime;

/// An instance counts among those that share connections and rates for this long after it
/// was heard; longer than a restart takes.
const COUNTED_FOR: Duration = Duration::from_secs(15);
/// What is read from the whole roster is worked out anew this often; each instance asks ten
/// times more seldom.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// An instance that was not heard for this long is no gateway: three of its requests are missing.
/// Those that forward notice sooner; a shorter time would move gateways whenever two are lost.
const GATEWAY_SILENT_AFTER: Duration = Duration::from_millis(1_700);

/// What the holder of the duty knows of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterEntry {
    /// Where it takes messages, and passes on what it knows.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it can pass on what the store says.
    pub is_fed: bool,
    /// Its share of a gateway's work in relation to the others; 0 takes none.
    pub weight: u16,
    /// The life of its process.
    pub incarnation: u64,
    /// When it was last heard.
    pub heard_at: MonotonicTime,
}

/// The instances that were heard, and what each has to know of the whole.
///
/// Load pattern: each of thousands of instances asks twice a second how many there are, which
/// place it has and who watches the store for it, and that seldom changes. It is worked out for
/// all at once, so that an answer costs the same however many there are.
#[derive(Clone, Debug, Default)]
pub struct InstanceRoster {
    entries: BTreeMap<InstanceId, RosterEntry>,
    places: HashMap<InstanceId, usize>,
    relays: HashMap<ZoneId, (InstanceId, SocketAddr)>,
    looked_at: Option<MonotonicTime>,
}

impl InstanceRoster {
    /// Notes that an instance was heard.
    pub fn heard(&mut self, id: &InstanceId, entry: RosterEntry) {
        if self.entries.insert(id.clone(), entry).is_none() {
            self.looked_at = None;
        }
    }

    /// Works out what is read from the whole, if it is time; `holder` holds the duty.
    pub fn look(&mut self, holder: &InstanceId, now: MonotonicTime) {
        let is_due = |at| now.saturating_since(at) >= LOOK_EVERY;
        if !self.looked_at.is_none_or(is_due) {
            return;
        }
        self.looked_at = Some(now);
        self.entries
            .retain(|_, entry| now.saturating_since(entry.heard_at) < COUNTED_FOR);
        let ids = self.entries.keys().cloned();
        self.places = ids.enumerate().map(|(place, id)| (id, place)).collect();
        let candidates = self.entries.iter().map(|(instance, entry)| RelayCandidate {
            instance,
            zone: &entry.zone,
            heard_at: entry.heard_at,
            is_fed: entry.is_fed,
            is_holder: instance == holder,
        });
        let relays = FeedRelay::choose(candidates, now).into_iter();
        let relays = relays.map(|(zone, instance)| {
            let address = self.entries[instance].address;
            (zone.clone(), (instance.clone(), address))
        });
        self.relays = relays.collect();
    }

    /// Returns how many instances there were at the last look.
    #[must_use]
    pub fn count(&self) -> usize {
        self.places.len()
    }

    /// Returns an instance's place among them in the order of their names; the last if it was
    /// not heard.
    #[must_use]
    pub fn place_of(&self, id: &InstanceId) -> usize {
        let place = self.places.get(id).copied();
        place.unwrap_or(self.places.len())
    }

    /// Returns where the instance `asker` of `zone` fetches what the store says; none if it has
    /// to watch the store itself.
    #[must_use]
    pub fn relay_for(&self, asker: &InstanceId, zone: &ZoneId) -> Option<SocketAddr> {
        let (relay, address) = self.relays.get(zone)?;
        (relay != asker).then_some(*address)
    }

    /// Returns the voters of the holder, the present ones as far as possible.
    #[must_use]
    pub fn voters(&self, present: &[Voter], now: MonotonicTime) -> Vec<Voter> {
        let candidates = self.entries.iter().map(|(id, entry)| VoterCandidate {
            voter: Voter {
                instance: id.clone(),
                incarnation: entry.incarnation,
                address: entry.address,
            },
            zone: &entry.zone,
            last_received_at: entry.heard_at,
        });
        VoterChoice::choose(candidates, present, now)
    }

    /// Returns the instances that could be gateways.
    pub fn gateway_candidates(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = GatewayCandidate<'_>> {
        let heard = self.entries.iter().filter(move |(_, entry)| {
            now.saturating_since(entry.heard_at) < GATEWAY_SILENT_AFTER && entry.weight > 0
        });
        heard.map(|(instance, entry)| GatewayCandidate {
            instance,
            zone: &entry.zone,
            address: entry.address,
            weight: entry.weight,
        })
    }

    /// Returns where an instance takes messages.
    #[must_use]
    pub fn address_of(&self, id: &InstanceId) -> Option<SocketAddr> {
        self.entries.get(id).map(|entry| entry.address)
    }

    /// Returns where all of them do.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.values().map(|entry| entry.address).collect()
    }
}
