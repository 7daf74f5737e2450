use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use mustardhinge_core::gateway::{
    ConnectionPlan, GatewayChoice, GatewayPair, GatewayTable, GatewayVersion,
};
use mustardhinge_core::prelude::{MonotonicTime, TargetId};

use super::{ControlState, PeerMessage};

/// Interval at which the leader checks whether gateways have to change, so that the next grants
/// already reflect a started or stopped instance.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before a new leader assigns gateways; instances send it requests within a few round trips.
const FIRST_TABLE_DELAY: Duration = Duration::from_millis(200);

/// Clears the table of gateways for a new leader.
pub(super) fn reset_gateways<P>(control: &ControlState<P>, fence: u64) {
    control.gateways.replace(GatewayTable::new(fence));
    control.gateways_built.set(None);
}

/// Updates the table of gateways if instances, targets or limits have changed.
pub(super) fn maintain_gateways<P>(control: &ControlState<P>, now: MonotonicTime) {
    let is_settled = now.saturating_since(control.leader_since.get()) >= FIRST_TABLE_DELAY;
    let last_build = control.gateways_built.get();
    let is_due = last_build.is_none_or(|(_, at)| now.saturating_since(at) >= CHECK_INTERVAL);
    if !is_settled || !is_due {
        return;
    }
    let input_hash = hash_inputs(control, now);
    control.gateways_built.set(Some((input_hash, now)));
    if last_build.is_some_and(|(known, _)| known == input_hash) {
        return;
    }
    let pairs = choose_gateways(control, now);
    control.gateways.borrow_mut().update(&pairs);
    if last_build.is_none() {
        broadcast_first_table(control);
    }
}

/// Sends a new leader's table to all instances immediately; later changes are part of the grants.
fn broadcast_first_table<P>(control: &ControlState<P>) {
    let table = control.gateways.borrow();
    let Some(update) = table.update_since(GatewayVersion::default()) else {
        return;
    };
    let message = PeerMessage::Gateways(update);
    let own = control.node.settings.peer_address;
    let known = control.instances.borrow().addresses();
    for address in known.into_iter().filter(|address| *address != own) {
        control.send(&message, address);
    }
}

/// Returns a hash of the inputs from which the table is computed.
fn hash_inputs<P>(control: &ControlState<P>, now: MonotonicTime) -> u64 {
    let mut hasher = DefaultHasher::new();
    control.node.targets_digest().hash(&mut hasher);
    control.node.plan().version().hash(&mut hasher);
    for candidate in control.instances.borrow().gateway_candidates(now) {
        candidate.instance.hash(&mut hasher);
        candidate.zone.hash(&mut hasher);
        candidate.address.hash(&mut hasher);
        candidate.weight.hash(&mut hasher);
    }
    hasher.finish()
}

/// Chooses the gateways of all targets whose connections are shared.
fn choose_gateways<P>(
    control: &ControlState<P>,
    now: MonotonicTime,
) -> BTreeMap<TargetId, GatewayPair> {
    let node = &control.node;
    let plan = node.plan();
    let roster = control.instances.borrow();
    let instances = control.count_instances(now);
    let mut pairs = BTreeMap::new();
    for group in node.groups() {
        let connection_limit = plan.connection_limit(group.service());
        let customers = plan.customers().len();
        if ConnectionPlan::decide(connection_limit, instances, customers) == ConnectionPlan::Direct
        {
            continue;
        }
        for target in group.targets() {
            let entry = target.entry();
            let candidates = roster.gateway_candidates(now);
            if let Some(pair) = GatewayChoice::choose(&entry.target, &entry.zone, candidates) {
                pairs.insert(entry.target.clone(), pair);
            }
        }
    }
    pairs
}
