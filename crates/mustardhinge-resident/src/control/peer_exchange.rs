use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{MonotonicTime, ServiceId};
use mustardhinge_core::primary_lease::{GroupPhase, LeaderRecord, PrimaryEvidence};
use rand::seq::IndexedRandom;

use super::copy_queries::{handle_copy_report, report_copies};
use super::leader_messages::{
    check_plan_version, close_local_lease, handle_allowance_response, handle_grant, handle_stop,
};
use super::leader_responses::{handle_allowance_request, handle_lease_request};
use super::record_restore::epochs_to_report;
use super::share_pooling::{handle_share_deposit, handle_share_loan};
use super::{
    AllowanceRequest, ControlState, GroupReport, LeaderHint, LeaseRequest, PeerMessage,
    StateNotice, StopMessage,
};
use crate::adapter::PlatformClient;
use crate::node::{DrainPhase, NodeState};

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Maximum number of instances that wait for a response naming the leader.
const MAX_PENDING_REQUESTERS: usize = 512;
/// Number of gateways that are queried for the leader in addition to the seeds, which may have
/// left.
const QUERIED_GATEWAYS: usize = 2;

/// Time without a grant after which other addresses are queried for the leader too.
const LEADER_SEARCH_DELAY: Duration = Duration::from_millis(1_100);

/// Receives and handles the messages of other instances until the process ends.
pub async fn serve_peers<P: PlatformClient>(control: Rc<ControlState<P>>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match control.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("failed to receive a datagram: {error}");
                continue;
            }
        };
        match PeerMessage::decode(&buffer[..length]) {
            Ok(message) => handle_message(&control, message, from),
            Err(error) => {
                metrics::counter!("resident_invalid_datagrams_total").increment(1);
                log::warn!("invalid datagram from {from} ignored: {error}");
            }
        }
    }
}

fn handle_message<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    message: PeerMessage,
    from: SocketAddr,
) {
    match message {
        PeerMessage::LeaseRequest(request) => {
            let address = request.address;
            if let Some(grant) = handle_lease_request(control, &request) {
                control.send(&PeerMessage::Grant(Box::new(grant)), address);
            } else {
                reply_with_leader(control, address);
            }
        }
        PeerMessage::Grant(grant) => handle_grant(control, &grant),
        PeerMessage::AllowanceRequest(request) => {
            let address = request.address;
            if let Some(response) = handle_allowance_request(control, &request) {
                control.send(&PeerMessage::AllowanceResponse(response), address);
            }
        }
        PeerMessage::AllowanceResponse(response) => handle_allowance_response(control, &response),
        PeerMessage::Stop(stop) => handle_stop(control, &stop),
        PeerMessage::LeaderHint(hint) => handle_leader_hint(control, &hint, from),
        PeerMessage::WhoLeads(address) => reply_with_leader(control, address),
        PeerMessage::Gateways(update) => control.node.adopt_gateways(&update),
        PeerMessage::ShareDeposit(message) => handle_share_deposit(control, &message),
        PeerMessage::ShareLoan(loan) => handle_share_loan(control, &loan),
        PeerMessage::CopyQuery(query) => {
            let report = report_copies(control, &query);
            control.send(&PeerMessage::CopyReport(report), query.address);
        }
        PeerMessage::CopyReport(report) => handle_copy_report(control, &report),
    }
}

/// Responds with the newest known leader. If none is known, schedules a read of the leadership
/// record and responds afterwards.
fn reply_with_leader<P>(control: &ControlState<P>, to: SocketAddr) {
    let mut election = control.node.election.borrow_mut();
    election.ensure_known();
    let reported = control.reported_leader.borrow();
    let held = election.held_record().map(|(record, _, _)| record);
    let known = election.known_leader().into_iter().chain(reported.as_ref());
    match known.chain(held).max_by_key(|record| record.fence) {
        Some(record) => send_leader_hint(control, record, to),
        None => {
            let mut pending = control.pending_requesters.borrow_mut();
            if pending.len() < MAX_PENDING_REQUESTERS && !pending.contains(&to) {
                pending.push(to);
            }
            control.wake.notify_one();
        }
    }
}

/// Sends the leader's record to the instances that requested it while it was unknown.
pub(super) fn reply_to_pending<P>(control: &ControlState<P>, record: &LeaderRecord) {
    for address in control.pending_requesters.take() {
        send_leader_hint(control, record, address);
    }
}

/// Requests leases and allowances from the leader; the leader handles its own request locally.
pub(super) fn send_lease_request<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    now: MonotonicTime,
) {
    let request = build_lease_request(control, now);
    if let Some(grant) = handle_lease_request(control, &request) {
        handle_grant(control, &grant);
        return;
    }
    let own = control.node.settings.peer_address;
    let leader = {
        let election = control.node.election.borrow();
        election
            .known_leader()
            .filter(|record| !record.released)
            .map(|record| record.address)
    };
    let mut recipients: Vec<SocketAddr> = leader.into_iter().collect();
    if control.is_hint_new.take() {
        recipients.extend(control.leader_hint.get());
    }
    let mut queried = Vec::new();
    if now.saturating_since(control.granted_at.get()) > LEADER_SEARCH_DELAY {
        recipients.extend(control.leader_hint.get());
        queried.extend(&control.node.settings.seed_addresses);
        let gateways = control.node.gateway_addresses();
        queried.extend(gateways.sample(&mut rand::rng(), QUERIED_GATEWAYS));
    }
    send_to_all(
        control,
        &PeerMessage::LeaseRequest(request),
        recipients.clone(),
    );
    queried.retain(|address| !recipients.contains(address));
    send_to_all(control, &PeerMessage::WhoLeads(own), queried);
}

fn send_to_all<P>(control: &ControlState<P>, message: &PeerMessage, mut to: Vec<SocketAddr>) {
    to.sort_unstable();
    to.dedup();
    let own = control.node.settings.peer_address;
    for address in to.into_iter().filter(|address| *address != own) {
        control.send(message, address);
    }
}

/// Sends the leader's record to another instance.
pub(super) fn send_leader_hint<P>(
    control: &ControlState<P>,
    record: &LeaderRecord,
    to: SocketAddr,
) {
    let hint = LeaderHint {
        record: record.clone(),
        sender: control.node.settings.peer_address,
        plan_version: control.node.plan().version(),
    };
    control.send(&PeerMessage::LeaderHint(hint), to);
}

/// Announces the new leader to the pending requesters, the seeds and the gateways, which are the
/// instances that others query for the leader.
pub(super) fn announce_leadership<P>(control: &ControlState<P>) {
    let election = control.node.election.borrow();
    let Some((record, _, _)) = election.held_record() else {
        return;
    };
    reply_to_pending(control, record);
    let own = control.node.settings.peer_address;
    let seeds = control.node.settings.seed_addresses.iter().copied();
    let known = seeds.chain(control.node.gateway_addresses());
    for address in known.filter(|address| *address != own) {
        send_leader_hint(control, record, address);
    }
}

/// Announces the new leader to those voters of its predecessor that may still acknowledge the
/// predecessor.
pub(super) fn notify_pending_voters<P>(control: &ControlState<P>, now: MonotonicTime) {
    let election = control.node.election.borrow();
    let Some((record, _, _)) = election.held_record() else {
        return;
    };
    for voter in election.awaited_voters(now) {
        send_leader_hint(control, record, voter.address);
    }
}

/// Notifies the instances that still use a primary to stop, if the primary is being replaced.
pub(super) fn send_stop_messages<P>(
    control: &ControlState<P>,
    service: &ServiceId,
    now: MonotonicTime,
) {
    let group_leases = control.group_leases.borrow();
    let Some(leases) = group_leases.get(service) else {
        return;
    };
    if !matches!(leases.phase(), GroupPhase::Stopping { .. }) {
        return;
    }
    let stop = StopMessage {
        fence: control.node.election.borrow().highest_fence(),
        service: service.clone(),
        epoch: leases.epoch(),
    };
    let instances = control.instances.borrow();
    for id in leases.pending_instances(now) {
        if id == control.node.settings.instance {
            close_local_lease(control, &stop, now);
        } else if let Some(address) = instances.address_of(&id) {
            control.send(&PeerMessage::Stop(stop.clone()), address);
        }
    }
}

/// Requests more allowance from the leader for the customers that have exhausted theirs.
pub(super) fn send_allowance_request<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    now: MonotonicTime,
) {
    let node = &control.node;
    let request = AllowanceRequest {
        from: node.settings.instance.clone(),
        incarnation: control.incarnation,
        address: node.settings.peer_address,
        requested_at: now.as_micros(),
        fence: node.election.borrow().highest_fence(),
        usage: node.allowances.borrow_mut().exhausted_reports(now),
    };
    if request.usage.is_empty() {
        return;
    }
    if let Some(response) = handle_allowance_request(control, &request) {
        handle_allowance_response(control, &response);
        return;
    }
    let election = node.election.borrow();
    let leader = election.known_leader().filter(|record| !record.released);
    if let Some(leader) = leader {
        control.send(&PeerMessage::AllowanceRequest(request), leader.address);
    }
}

fn build_lease_request<P>(control: &ControlState<P>, now: MonotonicTime) -> LeaseRequest {
    let node = &control.node;
    let leases = node.leases.borrow();
    let known = node.groups();
    let groups = known.iter().filter_map(|group| {
        let state = leases.newest(group.service())?;
        let evidence = group.find(state.primary)?.health().evidence(now);
        let has_report = evidence != PrimaryEvidence::Silent || state.closing_since.is_some();
        has_report.then(|| GroupReport {
            service: group.service().clone(),
            epoch: state.epoch,
            evidence,
            is_stopped: state.is_stopped,
            position: group.newest_position().map(|(_, position)| position),
        })
    });
    let wanted_positions = known.iter().filter(|group| group.needs_position(now));
    LeaseRequest {
        from: node.settings.instance.clone(),
        incarnation: control.incarnation,
        address: node.settings.peer_address,
        zone: node.settings.zone.clone(),
        can_relay: control.can_relay(now),
        weight: gateway_weight(node),
        gateways: node.gateway_version(),
        requested_at: now.as_micros(),
        fence: node.election.borrow().highest_fence(),
        grant_ack: control.grant_ack.get(),
        plan_version: node.plan().version(),
        leaving: node.leaving_targets(),
        epochs: leases.request_digest(known.len()),
        wanted_positions: wanted_positions
            .map(|group| group.service().clone())
            .collect(),
        groups: groups.collect(),
        usage: node.allowances.borrow_mut().reports(now),
        known_epochs: epochs_to_report(control, now),
        evacuations: node.evacuation_version(),
    }
}

/// Returns this instance's weight as a gateway, which is zero while it is stopping.
fn gateway_weight(node: &NodeState) -> u16 {
    if *node.subscribe_drain().borrow() == DrainPhase::Serving {
        node.settings.cpu_centicores
    } else {
        0
    }
}

fn handle_leader_hint<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    hint: &LeaderHint,
    from: SocketAddr,
) {
    let now = control.node.clock.now();
    let mut election = control.node.election.borrow_mut();
    let is_current = hint.record.fence >= election.highest_fence();
    let is_newer = hint.record.fence > election.highest_fence();
    election.observe_fence(hint.record.fence);
    if is_current && hint.record.released {
        election.refresh();
    }
    drop(election);
    if is_current {
        reply_to_pending(control, &hint.record);
        control.reported_leader.replace(Some(hint.record.clone()));
    }
    if is_current && hint.record.holder != control.node.settings.instance {
        let before = control.leader_hint.replace(Some(hint.record.address));
        let is_first = control.granted_at.get() == MonotonicTime::default();
        if is_newer || is_first && before != Some(hint.record.address) {
            control.is_hint_new.set(true);
            control.node.leader_request_due.notify_one();
        }
    }
    log::debug!("leader {} reported by {from}", hint.record.holder);
    let notice = (hint.sender, StateNotice::LeaderHint);
    check_plan_version(control, hint.plan_version, notice, now);
}
