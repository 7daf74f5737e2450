//! What the holder of the duty answers to the other instances.

use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::membership::RosterEntry;
use mustardhinge_core::prelude::{InstanceId, MonotonicTime, ServiceId};
use mustardhinge_core::primary_lease::LeaseResponse;
use mustardhinge_core::rate_limit::{AllowanceGrant, UsageReport};

use super::holder_words::note_versions;
use super::{
    AskMessage, ControlState, GrantMessage, GrantedGroup, GrantedGroups, SpendingAsk, SpendingGrant,
};
use crate::adapter::PlatformClient;

/// Answers an instance that asks for leases, if this one holds the duty.
pub(super) fn answer_ask<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    ask: &AskMessage,
) -> Option<GrantMessage> {
    let node = &control.node;
    let now = node.clock.now();
    note_voter(control, ask, now);
    let lease = node.election.borrow().lease_duration(now)?;
    note_asker(control, ask, now);
    let instances = control.count_instances(now);
    let groups = grant_groups(control, ask, lease, now);
    let asker = (&ask.from, ask.incarnation);
    let spending = grant_spending(control, asker, &ask.spending, instances);
    let duty = node.election.borrow();
    let roster = control.instances.borrow();
    let (record, revision, renewed_at) = duty.held_record()?;
    Some(GrantMessage {
        record: record.clone(),
        revision,
        renewed_ms: millis(now, renewed_at),
        asked_at: ask.asked_at,
        granted_at: now.as_micros(),
        // Whole milliseconds, rounded down, of a few seconds.
        lease_ms: lease.as_millis() as u64,
        leaving: node.leaving_targets(),
        groups,
        spending,
        instances,
        place: roster.index_of(&ask.from),
        relay: roster.relay_for(&ask.from, &ask.zone),
        plan_version: node.plan().version(),
        targets: node.targets_digest(),
        gateways: control.gateways.borrow().news_for(ask.gateways),
    })
}

/// Answers an instance that asks for more allowances, if this one holds the duty.
pub(super) fn answer_spending<P>(
    control: &ControlState<P>,
    ask: &SpendingAsk,
) -> Option<SpendingGrant> {
    let node = &control.node;
    let now = node.clock.now();
    node.election.borrow_mut().observe_fence(ask.fence);
    if !node.election.borrow().may_grant(now) {
        return None;
    }
    let asker = (&ask.from, ask.incarnation);
    let spending = grant_spending(control, asker, &ask.spending, node.instances());
    Some(SpendingGrant {
        fence: node.election.borrow().highest_fence(),
        asked_at: ask.asked_at,
        spending,
    })
}

fn grant_spending<P>(
    control: &ControlState<P>,
    asker: (&InstanceId, u64),
    reports: &[UsageReport],
    instances: usize,
) -> Vec<AllowanceGrant> {
    let now = control.node.clock.now();
    let mut book = control.book.borrow_mut();
    book.record_request(asker.0, instances, now);
    let table = control.node.allowances.borrow();
    let grants = reports.iter().filter_map(|report| {
        let limits = table.limits(&report.customer)?;
        Some(book.grant(asker, report, limits, now))
    });
    grants.collect()
}

/// Takes whom the asker goes along with: this holder, or no holder before it.
fn note_voter<P>(control: &ControlState<P>, ask: &AskMessage, now: MonotonicTime) {
    let mut duty = control.node.election.borrow_mut();
    duty.observe_fence(ask.fence);
    let asker = (&ask.from, ask.incarnation);
    if let Some(echo) = ask.echo {
        let at = MonotonicTime::from_micros(echo.granted_at);
        duty.voter_acked(asker, echo.fence, at);
    }
    let own = duty.held_record().map(|(record, _, _)| record.fence);
    if own.is_some_and(|own| ask.fence >= own) {
        duty.voter_moved(asker, now);
    }
}

fn note_asker<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    ask: &AskMessage,
    now: MonotonicTime,
) {
    control.heard(
        &ask.from,
        RosterEntry {
            address: ask.address,
            zone: ask.zone.clone(),
            can_relay: ask.is_fed,
            weight: ask.weight,
            incarnation: ask.incarnation,
            last_received_at: now,
        },
        now,
    );
    control.node.mark_leaving(&ask.leaving);
    note_versions(control, ask.plan_version, ask.address, now);
    let mut predecessor = control.predecessor.borrow_mut();
    let Some(before) = predecessor
        .as_ref()
        .filter(|before| before.holder == ask.from)
    else {
        return;
    };
    let mut duty = control.node.election.borrow_mut();
    let fence = duty
        .held_record()
        .map_or(u64::MAX, |(record, _, _)| record.fence);
    if before.incarnation != ask.incarnation || ask.fence >= fence {
        duty.predecessor_stopped(now);
        *predecessor = None;
    }
}

fn grant_groups<P>(
    control: &ControlState<P>,
    ask: &AskMessage,
    lease: Duration,
    now: MonotonicTime,
) -> GrantedGroups {
    let mut desks = control.desks.borrow_mut();
    for report in &ask.groups {
        let Some(desk) = desks.get_mut(&report.service) else {
            continue;
        };
        desk.report(&ask.from, report.epoch, report.evidence, now);
        if report.is_stopped {
            desk.confirm_stopped(&ask.from, report.epoch);
        }
        if let Some(position) = report.position.filter(|_| report.epoch == desk.epoch()) {
            desk.observe_position(position);
        }
    }
    let round = LeaseResponse::grant(&mut desks, &ask.from, &ask.epochs, lease, now);
    let position_of = |service: &ServiceId| {
        let group = control.node.group(service);
        let is_current = desks.get(service)?.epoch() == group.epoch();
        let (at, position) = group.newest_position().filter(|_| is_current)?;
        Some((position, millis(now, at)))
    };
    let positions = ask.wants.iter().filter_map(|service| {
        let (position, age) = position_of(service)?;
        Some((service.clone(), position, age))
    });
    GrantedGroups {
        positions: positions.collect(),
        same: round.digest,
        changed: round
            .changed
            .into_iter()
            .map(|grant| GrantedGroup {
                position: position_of(&grant.service),
                grant,
            })
            .collect(),
    }
}

/// Whole milliseconds, rounded up: an age is never given too small.
fn millis(now: MonotonicTime, at: MonotonicTime) -> u64 {
    u64::try_from(now.saturating_since(at).as_millis())
        .unwrap_or(u64::MAX)
        .saturating_add(1)
}
