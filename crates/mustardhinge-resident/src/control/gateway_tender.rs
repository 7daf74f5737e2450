use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use mustardhinge_core::gateway::{
    ConnectionPlan, GatewayChoice, GatewayPair, GatewayTable, GatewayVersion,
};
use mustardhinge_core::prelude::{MonotonicTime, TargetId};

use super::{ControlState, PeerMessage};

/// How often the leader looks whether gateways have to change: a start or stop is then known to
/// all with the next grants.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// A new leader makes no table before this time: instances ask it within a few round trips.
const FIRST_AFTER: Duration = Duration::from_millis(200);

/// Begins the table of a new leader.
pub(super) fn begin_gateways<P>(control: &ControlState<P>, fence: u64) {
    control.gateways.replace(GatewayTable::new(fence));
    control.gateways_made.set(None);
}

/// Makes the table of gateways anew if instances, targets or limits have changed.
pub(super) fn tend_gateways<P>(control: &ControlState<P>, now: MonotonicTime) {
    let is_settled = now.saturating_since(control.holder_since.get()) >= FIRST_AFTER;
    let made = control.gateways_made.get();
    let is_due = made.is_none_or(|(_, at)| now.saturating_since(at) >= LOOK_EVERY);
    if !is_settled || !is_due {
        return;
    }
    let source = source_of(control, now);
    control.gateways_made.set(Some((source, now)));
    if made.is_some_and(|(known, _)| known == source) {
        return;
    }
    let wanted = choose_all(control, now);
    control.gateways.borrow_mut().update(&wanted);
    if made.is_none() {
        send_first(control);
    }
}

/// Sends a new leader's table to all at once; later changes come with their leases.
fn send_first<P>(control: &ControlState<P>) {
    let table = control.gateways.borrow();
    let Some(news) = table.news_for(GatewayVersion::default()) else {
        return;
    };
    let message = PeerMessage::Gateways(news);
    let own = control.node.settings.peer_address;
    let known = control.instances.borrow().addresses();
    for address in known.into_iter().filter(|address| *address != own) {
        control.send(&message, address);
    }
}

/// Returns what stands for all that the table is made of.
fn source_of<P>(control: &ControlState<P>, now: MonotonicTime) -> u64 {
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

fn choose_all<P>(control: &ControlState<P>, now: MonotonicTime) -> BTreeMap<TargetId, GatewayPair> {
    let node = &control.node;
    let plan = node.plan();
    let roster = control.instances.borrow();
    let instances = control.count_instances(now);
    let mut wanted = BTreeMap::new();
    for group in node.groups() {
        let all = plan.connection_limit(group.service());
        let customers = plan.customers().len();
        if ConnectionPlan::decide(all, instances, customers) == ConnectionPlan::Own {
            continue;
        }
        for target in group.targets() {
            let entry = target.entry();
            let candidates = roster.gateway_candidates(now);
            if let Some(pair) = GatewayChoice::choose(&entry.target, &entry.zone, candidates) {
                wanted.insert(entry.target.clone(), pair);
            }
        }
    }
    wanted
}
