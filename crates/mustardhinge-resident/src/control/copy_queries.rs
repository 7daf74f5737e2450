//! Queries for a confirmation of the copies of the store's content, and their responses.
//!
//! An instance asks the relay of its zone, and the leader, which confirms the copies of all others,
//! asks the relays of the other zones.

use std::net::SocketAddr;

use mustardhinge_core::membership::{ConfirmationSource, StorePart};
use mustardhinge_core::prelude::MonotonicTime;

use super::leader_messages::confirm_copies;
use super::{ConfirmedCopies, ControlState, CopyQuery, CopyReport, PeerMessage, StateNotice};
use crate::adapter::PlatformClient;

/// Returns when this instance has to ask for a confirmation; none if it has nobody to ask.
pub(super) fn next_query_at<P>(
    control: &ControlState<P>,
    now: MonotonicTime,
) -> Option<MonotonicTime> {
    let has_sources = !query_addresses(control, now).is_empty();
    let next_at = control
        .query_pacing
        .get()
        .next_at(&control.node.confirmations());
    next_at.filter(|_| has_sources)
}

/// Asks for a confirmation if one is due.
pub(super) fn send_copy_queries<P>(control: &ControlState<P>, now: MonotonicTime) {
    if next_query_at(control, now).is_none_or(|at| now < at) {
        return;
    }
    let mut pacing = control.query_pacing.get();
    pacing.record_sent(now);
    control.query_pacing.set(pacing);
    let query = PeerMessage::CopyQuery(CopyQuery {
        address: control.node.settings.peer_address,
        requested_at: now.as_micros(),
    });
    for address in query_addresses(control, now) {
        metrics::counter!("resident_copy_queries_total").increment(1);
        control.send(&query, address);
    }
}

/// Returns the instances that watch the store and can confirm this one's copies.
fn query_addresses<P>(control: &ControlState<P>, now: MonotonicTime) -> Vec<SocketAddr> {
    if let Some(relay) = control.relay.get() {
        return vec![relay];
    }
    if !control.node.election.borrow().may_grant(now) {
        return Vec::new();
    }
    let own = control.node.settings.peer_address;
    let instances = control.instances.borrow();
    let relays = instances.relay_addresses();
    relays.filter(|address| *address != own).collect()
}

/// Returns the response to a query.
pub(super) fn report_copies<P>(control: &ControlState<P>, query: &CopyQuery) -> CopyReport {
    let node = &control.node;
    let now = node.clock.now();
    CopyReport {
        address: node.settings.peer_address,
        requested_at: query.requested_at,
        copies: ConfirmedCopies {
            plan_version: node.plan().version(),
            targets: node.targets_digest(),
            evacuations: node.evacuation_version(),
            ages: node.confirmation_ages(now),
        },
    }
}

/// Applies a report: confirms the copies that contain all that the sender knows, and fetches from it
/// what it has in addition. Ignores a report on a query that is yet to be sent.
pub(super) fn handle_copy_report<P: PlatformClient>(
    control: &ControlState<P>,
    report: &CopyReport,
) {
    let node = &control.node;
    let now = node.clock.now();
    let requested_at = MonotonicTime::from_micros(report.requested_at);
    if requested_at > now {
        return;
    }
    if control.relay.get() == Some(report.address) {
        control.relay_reported_at.set(now);
    }
    let copies = &report.copies;
    confirm_copies(control, copies, requested_at, ConfirmationSource::Relay);
    let known = node.targets_digest();
    let mut backoff = control.list_fetch_backoff.get();
    let is_newer = |part| !copies.are_known_to(node, part);
    let has_newer = is_newer(StorePart::Plan)
        || node.settings.follows_evacuations && is_newer(StorePart::Evacuations);
    let has_other_list = is_newer(StorePart::Targets) && backoff.should_fetch(known.get(), now);
    control.list_fetch_backoff.set(backoff);
    if has_newer || has_other_list {
        control.fetch_at_once(report.address, StateNotice::CopyReport, now);
    }
}
