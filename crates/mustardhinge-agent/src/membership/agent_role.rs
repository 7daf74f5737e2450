use std::collections::BTreeSet;

use mustardhinge_core::membership::choose_ranked;
use mustardhinge_core::prelude::*;

use crate::peer::PeerAddress;
use crate::state::{KnownState, SharedState};

/// Maximum number of child agents that exchange with the same parent in their zone.
const FAN_OUT: usize = 8;

/// The role of an agent in its zone, with the peers it exchanges state with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AgentRole {
    /// The relay of its zone: watches the platform for the zone and exchanges with
    /// relays of other zones.
    Relay(Vec<PeerAddress>),
    /// A member of the zone's exchange tree: exchanges with its parent.
    Member(Vec<PeerAddress>),
}

impl AgentRole {
    /// Returns whether the agent is the relay of its zone.
    pub(crate) const fn is_relay(&self) -> bool {
        matches!(self, Self::Relay(_))
    }

    /// Returns the peers to exchange with.
    pub(crate) fn into_peers(self) -> Vec<PeerAddress> {
        match self {
            Self::Relay(peers) | Self::Member(peers) => peers,
        }
    }
}

/// Chooses the role of this agent by rendezvous hashing over the usable instances
/// of its zone. The only agent of a zone is its relay.
pub(crate) fn choose_role(
    known: &KnownState,
    state: &SharedState,
    now: MonotonicTime,
) -> AgentRole {
    let own = &state.instance;
    let ranked = rank_zone(known, &state.zone, Some(own), now);
    let index = ranked.iter().position(|member| member == own);
    match index {
        Some(index) if index > 0 => {
            let parent = &ranked[(index - 1) / FAN_OUT];
            AgentRole::Member(find_address(known, parent).into_iter().collect())
        }
        _ => AgentRole::Relay(partner_relays(known, &state.zone, now)),
    }
}

/// Returns the usable instances of a zone in rank order; the first is its relay.
///
/// `own` is added to them unless it is leaving and another instance is usable.
pub(crate) fn rank_zone(
    known: &KnownState,
    zone: &ZoneId,
    own: Option<&InstanceId>,
    now: MonotonicTime,
) -> Vec<InstanceId> {
    let mut members: BTreeSet<_> = known.members.usable_in(zone, now).collect();
    let is_leaving = own.is_some_and(|own| known.is_leaving(own));
    if !is_leaving || members.is_empty() {
        members.extend(own);
    }
    let count = members.len();
    let ranked = choose_ranked(zone.as_str().as_bytes(), members, count);
    ranked.into_iter().cloned().collect()
}

/// Returns the relays of the zones 1, 2, 4, … positions after the own one, so that
/// updates reach all zones in a logarithmic number of hops.
fn partner_relays(known: &KnownState, own_zone: &ZoneId, now: MonotonicTime) -> Vec<PeerAddress> {
    let mut zones: Vec<_> = known.members.zones();
    if !zones.contains(&own_zone) {
        zones.push(own_zone);
        zones.sort_unstable();
    }
    let own_index = zones.iter().position(|zone| *zone == own_zone);
    let own_index = own_index.unwrap_or_default();
    let distances = std::iter::successors(Some(1), |distance| Some(distance * 2));
    let distances = distances.take_while(|distance| *distance < zones.len());
    let partners = distances.map(|distance| zones[(own_index + distance) % zones.len()]);
    partners
        .filter_map(|zone| rank_zone(known, zone, None, now).into_iter().next())
        .filter_map(|relay| find_address(known, &relay))
        .collect()
}

/// Returns the address of an instance's agent.
pub(crate) fn find_address(known: &KnownState, instance: &InstanceId) -> Option<PeerAddress> {
    let mut entries = known.instances.instances.iter();
    let entry = entries.find(|entry| entry.instance == *instance)?;
    Some(PeerAddress {
        instance: Some(instance.clone()),
        zone: Some(entry.zone.clone()),
        address: entry.agent_address,
    })
}
