//! What an instance takes from the holder of the duty.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{DocumentVersion, MonotonicTime, ServiceId};
use mustardhinge_core::primary_lease::{GroupEpoch, ObservedRecord};
use mustardhinge_process::event;

use super::{
    ControlState, GrantEcho, GrantMessage, GrantedGroup, GrantedGroups, SpendingGrant, StopMessage,
};
use crate::adapter::PlatformClient;
use crate::group::GroupState;

/// Takes what the holder lends.
pub(super) fn take_grant<P: PlatformClient>(control: &Rc<ControlState<P>>, grant: &GrantMessage) {
    let node = &control.node;
    let now = node.clock.now();
    if grant.record.fence < node.election.borrow().highest_fence() {
        return;
    }
    let echo = GrantEcho {
        fence: grant.record.fence,
        granted_at: grant.granted_at,
    };
    let before = control.echo.replace(Some(echo));
    if before.is_none_or(|before| before.fence != echo.fence) {
        node.allowances.borrow_mut().resend_all();
    }
    let asked_at = MonotonicTime::from_micros(grant.asked_at);
    let lent = Duration::from_millis(grant.lease_ms);
    let lease = (asked_at, node.lease_settings.lease.min(lent));
    node.election.borrow_mut().observe_leader(
        ObservedRecord {
            revision: grant.revision,
            record: grant.record.clone(),
            first_seen: now - Duration::from_millis(grant.renewed_ms.saturating_sub(1)),
        },
        now,
    );
    node.mark_leaving(&grant.leaving);
    take_same(control, &grant.groups, lease);
    for granted in &grant.groups.changed {
        take_group(control, granted, lease, now);
    }
    node.allowances
        .borrow_mut()
        .apply_grants(&grant.spending, asked_at, now);
    node.allowances_changed.notify_waiters();
    node.set_instances(grant.instances, grant.place);
    if let Some(news) = &grant.gateways {
        node.adopt_gateways(news);
    }
    if node.leases.borrow().has_any(now) {
        node.record_lease(now);
    }
    control.note_granted(grant.relay, now);
    let source = grant.relay.unwrap_or(grant.record.address);
    note_versions(control, grant.plan_version, source, now);
    let known = node.targets_digest();
    let mut pace = control.list_pace.get();
    let is_fed = control.has_store.get() && grant.relay.is_none();
    if !is_fed && grant.targets != known && pace.should_fetch(known.get(), now) {
        control.list_pace.set(pace);
        control.note_newer(source, now);
    }
}

fn take_group<P>(
    control: &ControlState<P>,
    granted: &GrantedGroup,
    (asked_at, lease): (MonotonicTime, Duration),
    now: MonotonicTime,
) {
    let node = &control.node;
    let grant = &granted.grant;
    let group = node.group(&grant.service);
    let is_new = node.leases.borrow_mut().accept(grant, asked_at, lease, now);
    if is_new {
        group.begin_epoch(grant.epoch);
    }
    note_lent(control, &group, is_new, now);
    if let Some((position, age)) = granted.position {
        let at = asked_at - Duration::from_millis(age);
        group.observe(grant.epoch, at, position);
    }
    if !grant.usable {
        control.wake.notify_one();
    }
}

/// Takes which groups are lent as they are known here; an answer that came after a change here
/// says nothing about what is known now.
fn take_same<P>(
    control: &ControlState<P>,
    granted: &GrantedGroups,
    (asked_at, lease): (MonotonicTime, Duration),
) {
    let node = &control.node;
    // Those that are told anew may be lent no more, though their epochs are the same.
    let changed = granted.changed.iter();
    let told: HashSet<_> = changed.map(|granted| &granted.grant.service).collect();
    let now = node.clock.now();
    let renewed = node
        .leases
        .borrow_mut()
        .renew(&granted.same, &told, asked_at, lease);
    for service in &renewed {
        note_lent(control, &node.group(service), false, now);
    }
    for (service, position, age) in &granted.positions {
        let group = node.group(service);
        let at = asked_at - Duration::from_millis(*age);
        if renewed.contains(service) {
            group.observe(group.epoch(), at, *position);
        }
    }
}

/// Notes that the use of a group's primary was lent, if it may be used now.
fn note_lent<P>(control: &ControlState<P>, group: &GroupState, is_new: bool, now: MonotonicTime) {
    let node = &control.node;
    if let Some((epoch, primary)) = node.usable_primary(group, now)
        && (group.set_leased(true) || is_new)
    {
        event::LEASE_GAINED.log(format_args!(
            "service={} epoch={epoch} primary={}",
            group.service(),
            primary.id()
        ));
    }
    if node.serving_primary(group, now).is_some() {
        group.set_usable(true, now);
    }
}

/// Takes what the holder allows in between.
pub(super) fn take_spending<P>(control: &ControlState<P>, grant: &SpendingGrant) {
    let node = &control.node;
    if grant.fence < node.election.borrow().highest_fence() {
        return;
    }
    let asked_at = MonotonicTime::from_micros(grant.asked_at);
    let now = node.clock.now();
    node.allowances
        .borrow_mut()
        .apply_grants(&grant.spending, asked_at, now);
    node.allowances_changed.notify_waiters();
}

/// Takes that a primary is to be used no more.
pub(super) fn take_stop<P>(control: &ControlState<P>, stop: &StopMessage) {
    let node = &control.node;
    if stop.fence < node.election.borrow().highest_fence() {
        return;
    }
    close_own(control, stop, node.clock.now());
}

/// Begins to stop the use of a primary here; the control, woken, ends it once it is idle.
pub(super) fn close_own<P>(control: &ControlState<P>, stop: &StopMessage, now: MonotonicTime) {
    let mut leases = control.node.leases.borrow_mut();
    leases.close(&stop.service, stop.epoch, now);
    drop(leases);
    if !is_stopped(control, &stop.service, stop.epoch) {
        control.wake.notify_one();
    }
}

fn is_stopped<P>(control: &ControlState<P>, service: &ServiceId, epoch: GroupEpoch) -> bool {
    let leases = control.node.leases.borrow();
    leases
        .newest(service)
        .is_some_and(|state| state.epoch == epoch && state.is_stopped)
}

/// Notes where a newer configuration may be fetched.
pub(super) fn note_versions<P>(
    control: &ControlState<P>,
    plan_version: DocumentVersion,
    address: SocketAddr,
    now: MonotonicTime,
) {
    let is_newer = plan_version > control.node.plan().version();
    if is_newer {
        control.note_newer(address, now);
    }
}
