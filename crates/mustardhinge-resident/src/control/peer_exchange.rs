use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{MonotonicTime, ServiceId};
use mustardhinge_core::primary_lease::{GroupPhase, LeaderRecord, PrimaryEvidence};
use rand::seq::IndexedRandom;

use super::holder_answers::{answer_ask, answer_spending};
use super::holder_words::{close_own, note_versions, take_grant, take_spending, take_stop};
use super::{
    AskMessage, ControlState, GroupReport, HolderHint, PeerMessage, SpendingAsk, StopMessage,
};
use crate::adapter::PlatformClient;
use crate::node::{DrainPhase, NodeState};

/// Greatest datagram.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Most instances that are remembered to have asked for the holder.
const MOST_WAITING: usize = 512;
/// Gateways that are asked for the holder besides the seeds, which may be gone.
const ASKED_GATEWAYS: usize = 2;

/// A holder that has not lent for this long is looked for at other addresses too.
const LOOK_AFTER: Duration = Duration::from_millis(1_100);

/// Takes the messages of other instances until the process ends.
pub async fn serve_peers<P: PlatformClient>(control: Rc<ControlState<P>>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let (length, from) = match control.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("no datagram: {error}");
                continue;
            }
        };
        match PeerMessage::decode(&buffer[..length]) {
            Ok(message) => take_message(&control, message, from),
            Err(error) => log::warn!("datagram of {from} ignored: {error}"),
        }
    }
}

fn take_message<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    message: PeerMessage,
    from: SocketAddr,
) {
    match message {
        PeerMessage::Ask(ask) => {
            let address = ask.address;
            if let Some(grant) = answer_ask(control, &ask) {
                control.send(&PeerMessage::Grant(grant), address);
            } else {
                name_holder(control, address);
            }
        }
        PeerMessage::Grant(grant) => take_grant(control, &grant),
        PeerMessage::AskSpending(ask) => {
            let address = ask.address;
            if let Some(grant) = answer_spending(control, &ask) {
                control.send(&PeerMessage::GrantSpending(grant), address);
            }
        }
        PeerMessage::GrantSpending(grant) => take_spending(control, &grant),
        PeerMessage::Stop(stop) => take_stop(control, &stop),
        PeerMessage::Holder(hint) => take_hint(control, &hint, from),
        PeerMessage::WhoLeads(address) => name_holder(control, address),
        PeerMessage::Gateways(news) => control.node.adopt_gateways(&news),
    }
}

/// Names the newest holder that is known here; an instance that knows none looks it up.
fn name_holder<P>(control: &ControlState<P>, to: SocketAddr) {
    let mut duty = control.node.election.borrow_mut();
    duty.ensure_known();
    let named = control.named_holder.borrow();
    let held = duty.held_record().map(|(record, _, _)| record);
    let known = duty.known_leader().into_iter().chain(named.as_ref());
    match known.chain(held).max_by_key(|record| record.fence) {
        Some(record) => send_hint(control, record, to),
        None => {
            let mut waiting = control.waiting_askers.borrow_mut();
            if waiting.len() < MOST_WAITING && !waiting.contains(&to) {
                waiting.push(to);
            }
            control.wake.notify_one();
        }
    }
}

/// Names the holder to those who asked while it was not known.
pub(super) fn name_to_waiting<P>(control: &ControlState<P>, record: &LeaderRecord) {
    for address in control.waiting_askers.take() {
        send_hint(control, record, address);
    }
}

/// Asks the holder for leases and allowances; the holder asks itself.
pub(super) fn send_ask<P: PlatformClient>(control: &Rc<ControlState<P>>, now: MonotonicTime) {
    let ask = make_ask(control, now);
    if let Some(grant) = answer_ask(control, &ask) {
        take_grant(control, &grant);
        return;
    }
    let own = control.node.settings.peer_address;
    let holder = {
        let duty = control.node.election.borrow();
        duty.known_leader()
            .filter(|record| !record.released)
            .map(|record| record.address)
    };
    let mut asked: Vec<SocketAddr> = holder.into_iter().collect();
    if control.is_hint_new.take() {
        asked.extend(control.hint.get());
    }
    let mut others = Vec::new();
    if now.saturating_since(control.granted_at.get()) > LOOK_AFTER {
        asked.extend(control.hint.get());
        others.extend(&control.node.settings.seed_addresses);
        let gateways = control.node.gateway_addresses();
        others.extend(gateways.sample(&mut rand::rng(), ASKED_GATEWAYS));
    }
    send_to_all(control, &PeerMessage::Ask(ask), asked.clone());
    others.retain(|address| !asked.contains(address));
    send_to_all(control, &PeerMessage::WhoLeads(own), others);
}

fn send_to_all<P>(control: &ControlState<P>, message: &PeerMessage, mut to: Vec<SocketAddr>) {
    to.sort_unstable();
    to.dedup();
    let own = control.node.settings.peer_address;
    for address in to.into_iter().filter(|address| *address != own) {
        control.send(message, address);
    }
}

/// Tells another instance who holds the duty.
pub(super) fn send_hint<P>(control: &ControlState<P>, record: &LeaderRecord, to: SocketAddr) {
    let hint = HolderHint {
        record: record.clone(),
        sender: control.node.settings.peer_address,
        plan_version: control.node.plan().version(),
    };
    control.send(&PeerMessage::Holder(hint), to);
}

/// Tells the instances that many others ask who holds the duty now.
pub(super) fn send_first_hints<P>(control: &ControlState<P>) {
    let duty = control.node.election.borrow();
    let Some((record, _, _)) = duty.held_record() else {
        return;
    };
    name_to_waiting(control, record);
    let own = control.node.settings.peer_address;
    let seeds = control.node.settings.seed_addresses.iter().copied();
    let known = seeds.chain(control.node.gateway_addresses());
    for address in known.filter(|address| *address != own) {
        send_hint(control, record, address);
    }
}

/// Tells the voters of the holder before this one who holds the duty now.
pub(super) fn send_voter_hints<P>(control: &ControlState<P>, now: MonotonicTime) {
    let duty = control.node.election.borrow();
    let Some((record, _, _)) = duty.held_record() else {
        return;
    };
    for voter in duty.awaited_voters(now) {
        send_hint(control, record, voter.address);
    }
}

/// Tells the instances that use a primary which is to be replaced to stop.
pub(super) fn send_stops<P>(control: &ControlState<P>, service: &ServiceId, now: MonotonicTime) {
    let desks = control.desks.borrow();
    let Some(desk) = desks.get(service) else {
        return;
    };
    if !matches!(desk.phase(), GroupPhase::Stopping { .. }) {
        return;
    }
    let stop = StopMessage {
        fence: control.node.election.borrow().highest_fence(),
        service: service.clone(),
        epoch: desk.epoch(),
    };
    let instances = control.instances.borrow();
    for id in desk.pending_instances(now) {
        if id == control.node.settings.instance {
            close_own(control, &stop, now);
        } else if let Some(address) = instances.address_of(&id) {
            control.send(&PeerMessage::Stop(stop.clone()), address);
        }
    }
}

/// Asks the holder for more of the customers whose allowance is used up.
pub(super) fn send_spending_ask<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    now: MonotonicTime,
) {
    let node = &control.node;
    let ask = SpendingAsk {
        from: node.settings.instance.clone(),
        incarnation: control.incarnation,
        address: node.settings.peer_address,
        asked_at: now.as_micros(),
        fence: node.election.borrow().highest_fence(),
        spending: node.allowances.borrow_mut().exhausted_reports(now),
    };
    if ask.spending.is_empty() {
        return;
    }
    if let Some(grant) = answer_spending(control, &ask) {
        take_spending(control, &grant);
        return;
    }
    let duty = node.election.borrow();
    let holder = duty.known_leader().filter(|record| !record.released);
    if let Some(holder) = holder {
        control.send(&PeerMessage::AskSpending(ask), holder.address);
    }
}

fn make_ask<P>(control: &ControlState<P>, now: MonotonicTime) -> AskMessage {
    let node = &control.node;
    let leases = node.leases.borrow();
    let known = node.groups();
    let groups = known.iter().filter_map(|group| {
        let state = leases.newest(group.service())?;
        let evidence = group.find(state.primary)?.health().evidence(now);
        let says_something = evidence != PrimaryEvidence::Silent || state.closing_since.is_some();
        says_something.then(|| GroupReport {
            service: group.service().clone(),
            epoch: state.epoch,
            evidence,
            is_stopped: state.is_stopped,
            position: group.newest_position().map(|(_, position)| position),
        })
    });
    let wants = known.iter().filter(|group| group.needs_position(now));
    AskMessage {
        from: node.settings.instance.clone(),
        incarnation: control.incarnation,
        address: node.settings.peer_address,
        zone: node.settings.zone.clone(),
        is_fed: control.has_store.get() && node.plan().version().get() > 0,
        weight: own_weight(node),
        gateways: node.gateway_version(),
        asked_at: now.as_micros(),
        fence: node.election.borrow().highest_fence(),
        echo: control.echo.get(),
        plan_version: node.plan().version(),
        leaving: node.leaving_targets(),
        epochs: leases.digest(),
        wants: wants.map(|group| group.service().clone()).collect(),
        groups: groups.collect(),
        spending: node.allowances.borrow_mut().reports(now),
    }
}

/// An instance that is stopping takes no more work as a gateway.
fn own_weight(node: &NodeState) -> u16 {
    if *node.subscribe_drain().borrow() == DrainPhase::Serving {
        node.settings.cpu_centicores
    } else {
        0
    }
}

fn take_hint<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    hint: &HolderHint,
    from: SocketAddr,
) {
    let now = control.node.clock.now();
    let mut duty = control.node.election.borrow_mut();
    let is_current = hint.record.fence >= duty.highest_fence();
    let is_newer = hint.record.fence > duty.highest_fence();
    duty.observe_fence(hint.record.fence);
    if is_current && hint.record.released {
        duty.refresh();
    }
    drop(duty);
    if is_current {
        name_to_waiting(control, &hint.record);
        control.named_holder.replace(Some(hint.record.clone()));
    }
    if is_current && hint.record.holder != control.node.settings.instance {
        let before = control.hint.replace(Some(hint.record.address));
        let is_first = control.granted_at.get() == MonotonicTime::default();
        if is_newer || is_first && before != Some(hint.record.address) {
            control.is_hint_new.set(true);
            control.node.leader_request_due.notify_one();
        }
    }
    log::debug!("holder {} named by {from}", hint.record.holder);
    note_versions(control, hint.plan_version, hint.sender, now);
}
