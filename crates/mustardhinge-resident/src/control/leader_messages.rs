//! Handling of the messages from the leader.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::evacuation::EvacuationVersion;
use mustardhinge_core::membership::{ConfirmationSource, StorePart};
use mustardhinge_core::prelude::{DocumentVersion, MonotonicTime, ServiceId};
use mustardhinge_core::primary_lease::{GroupEpoch, ObservedRecord, StoreEra};
use mustardhinge_process::event;

use super::record_restore::record_report_answer;
use super::share_pooling::end_share_pool;
use super::{
    AllowanceResponse, ConfirmedCopies, ControlState, GrantAck, GrantMessage, GrantedGroup,
    GrantedGroups, StateNotice, StopMessage,
};
use crate::adapter::PlatformClient;
use crate::group::GroupState;

/// Applies a grant of the leader. Ignores a grant of a leader that has been replaced, one with an
/// invalid era, and one whose request is yet to be sent: its lease would last beyond the time that
/// the leader waits for it.
pub(super) fn handle_grant<P: PlatformClient>(control: &Rc<ControlState<P>>, grant: &GrantMessage) {
    let node = &control.node;
    let now = node.clock.now();
    let is_outdated = grant.record.fence < node.election.borrow().highest_fence();
    let requested_at = MonotonicTime::from_micros(grant.requested_at);
    if is_outdated || requested_at > now || grant.revision.era() > StoreEra::MAX {
        return;
    }
    if grant.revision.era() > StoreEra::default() {
        control.platform.observe_store_era(grant.revision.era());
        control.update_store_era();
    }
    record_report_answer(control, grant.record.fence, grant.requested_at);
    let grant_ack = GrantAck {
        fence: grant.record.fence,
        granted_at: grant.granted_at,
    };
    let before = control.grant_ack.replace(Some(grant_ack));
    if before.is_none_or(|before| before.fence != grant_ack.fence) {
        node.allowances.borrow_mut().resend_all();
    }
    let granted_lease = Duration::from_millis(grant.lease_ms);
    let lease = (requested_at, node.lease_settings.lease.min(granted_lease));
    node.election.borrow_mut().observe_leader(
        ObservedRecord {
            revision: grant.revision,
            record: grant.record.clone(),
            first_seen: now - Duration::from_millis(grant.renewed_ms.saturating_sub(1)),
        },
        now,
    );
    node.mark_leaving(&grant.leaving);
    renew_unchanged(control, &grant.groups, lease);
    for granted in &grant.groups.changed {
        apply_group_grant(control, granted, lease, now);
    }
    node.allowances
        .borrow_mut()
        .apply_grants(&grant.allowances, requested_at, now);
    end_share_pool(control);
    node.allowances_changed.notify_waiters();
    node.set_instances(grant.instances, grant.index);
    if let Some(update) = &grant.gateways {
        node.adopt_gateways(update);
    }
    if node.leases.borrow().has_any(now) {
        node.record_lease(now);
    }
    control.record_grant(grant.relay, now);
    control.pool_keeper.set(grant.pool_keeper);
    compare_copies(control, grant, requested_at, now);
}

/// Confirms this instance's copies of the store's content that are as new as the leader's, and
/// records where newer ones are available.
fn compare_copies<P>(
    control: &ControlState<P>,
    grant: &GrantMessage,
    requested_at: MonotonicTime,
    now: MonotonicTime,
) {
    let node = &control.node;
    let source = grant.relay.unwrap_or(grant.record.address);
    let notice = (source, StateNotice::Grant);
    check_plan_version(control, grant.plan_version, notice, now);
    check_evacuations(control, &grant.evacuations, notice, now);
    let by = ConfirmationSource::Leader;
    confirm_copies(control, &grant.copies(), requested_at, by);
    let known = node.targets_digest();
    let mut backoff = control.list_fetch_backoff.get();
    let watches_store = control.is_store_available.get() && grant.relay.is_none();
    if !watches_store && grant.targets != known && backoff.should_fetch(known.get(), now) {
        control.list_fetch_backoff.set(backoff);
        control.record_newer_state(source, StateNotice::Grant, now);
    }
}

/// Confirms the copies that contain all changes that another instance knows. They are as current as
/// that one's were at `requested_at`, or more.
pub(super) fn confirm_copies<P>(
    control: &ControlState<P>,
    copies: &ConfirmedCopies,
    requested_at: MonotonicTime,
    source: ConfirmationSource,
) {
    let node = &control.node;
    for part in StorePart::ALL {
        let is_complete = copies.are_known_to(node, part);
        if let Some(age) = copies.ages.of(part).filter(|_| is_complete) {
            node.confirm_copy(part, requested_at - age, source);
        }
    }
}

/// Applies the grant for one group.
fn apply_group_grant<P>(
    control: &ControlState<P>,
    granted: &GrantedGroup,
    (requested_at, lease): (MonotonicTime, Duration),
    now: MonotonicTime,
) {
    let node = &control.node;
    let grant = &granted.grant;
    let group = node.group(&grant.service);
    let is_new = node
        .leases
        .borrow_mut()
        .accept(grant, requested_at, lease, now);
    if is_new {
        group.begin_epoch(grant.epoch);
    }
    record_lease_gained(control, &group, is_new, now);
    if let Some((position, age)) = granted.position {
        let at = requested_at - Duration::from_millis(age);
        group.observe(grant.epoch, at, position);
    }
    if !grant.usable {
        control.wake.notify_one();
    }
}

/// Renews the leases on groups whose epochs match the granted digest. A response that arrives after
/// a local change does not match and renews nothing that has changed.
fn renew_unchanged<P>(
    control: &ControlState<P>,
    granted: &GrantedGroups,
    (requested_at, lease): (MonotonicTime, Duration),
) {
    let node = &control.node;
    // A lease on a group in `changed` may no longer be usable, even if its epoch is the same.
    let changed = granted.changed.iter();
    let changed_services: HashSet<_> = changed.map(|granted| &granted.grant.service).collect();
    let now = node.clock.now();
    let renewed =
        node.leases
            .borrow_mut()
            .renew(&granted.digest, &changed_services, requested_at, lease);
    for service in &renewed {
        record_lease_gained(control, &node.group(service), false, now);
    }
    for (service, position, age) in &granted.positions {
        let group = node.group(service);
        let at = requested_at - Duration::from_millis(*age);
        if renewed.contains(service) {
            group.observe(group.epoch(), at, *position);
        }
    }
}

/// Records that this instance gained a lease on a group's primary, if the primary is usable now.
fn record_lease_gained<P>(
    control: &ControlState<P>,
    group: &GroupState,
    is_new: bool,
    now: MonotonicTime,
) {
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

/// Applies allowances that were granted between two leases. Ignores a response to a request that is
/// yet to be sent, as all later responses would count as outdated.
pub(super) fn handle_allowance_response<P>(
    control: &ControlState<P>,
    response: &AllowanceResponse,
) {
    let node = &control.node;
    let requested_at = MonotonicTime::from_micros(response.requested_at);
    let now = node.clock.now();
    if response.fence < node.election.borrow().highest_fence() || requested_at > now {
        return;
    }
    node.allowances
        .borrow_mut()
        .apply_grants(&response.allowances, requested_at, now);
    end_share_pool(control);
    node.allowances_changed.notify_waiters();
}

/// Handles a notification to stop using a primary. Ignores a notification of a leader that has
/// been replaced.
pub(super) fn handle_stop<P>(control: &ControlState<P>, stop: &StopMessage) {
    let node = &control.node;
    if stop.fence < node.election.borrow().highest_fence() {
        return;
    }
    close_local_lease(control, stop, node.clock.now());
}

/// Starts to end this instance's use of a primary and wakes the control loop, which completes it
/// once the primary is idle.
pub(super) fn close_local_lease<P>(
    control: &ControlState<P>,
    stop: &StopMessage,
    now: MonotonicTime,
) {
    let mut leases = control.node.leases.borrow_mut();
    let known = leases.newest(&stop.service);
    let was_closing =
        known.is_some_and(|state| state.epoch == stop.epoch && state.closing_since.is_some());
    leases.close(&stop.service, stop.epoch, now);
    drop(leases);
    // The leader repeats the notification in each iteration of its own loop.
    if !was_closing && !is_stopped(control, &stop.service, stop.epoch) {
        control.wake.notify_one();
    }
}

fn is_stopped<P>(control: &ControlState<P>, service: &ServiceId, epoch: GroupEpoch) -> bool {
    let leases = control.node.leases.borrow();
    leases
        .newest(service)
        .is_some_and(|state| state.epoch == epoch && state.is_stopped)
}

/// Records an instance whose configuration is newer than the local one.
pub(super) fn check_plan_version<P>(
    control: &ControlState<P>,
    plan_version: DocumentVersion,
    (address, notice): (SocketAddr, StateNotice),
    now: MonotonicTime,
) {
    let is_newer = plan_version > control.node.plan().version();
    if is_newer {
        control.record_newer_state(address, notice, now);
    }
}

/// Records an instance whose set of evacuated zones is newer than the local one.
pub(super) fn check_evacuations<P>(
    control: &ControlState<P>,
    version: &EvacuationVersion,
    (address, notice): (SocketAddr, StateNotice),
    now: MonotonicTime,
) {
    let is_followed = control.node.settings.follows_evacuations;
    if is_followed && version.is_newer_than(&control.node.evacuation_version()) {
        control.record_newer_state(address, notice, now);
    }
}
