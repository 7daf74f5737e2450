use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{MonotonicTime, ServiceId};
use mustardhinge_core::primary_lease::{
    ChangeCause, ElectionStep, GroupPhase, LeaderRecord, LeadershipChange, LeadershipState,
    RecordRevision,
};
use mustardhinge_core::rate_limit::RateLimiter;
use mustardhinge_process::event;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::ControlState;
use super::copy_queries::send_copy_queries;
use super::gateway_maintenance::{maintain_gateways, reset_gateways};
use super::group_setup::set_up_group;
use super::leadership_release::release_record;
use super::peer_exchange::{
    announce_leadership, notify_pending_voters, send_allowance_request, send_leader_hint,
    send_lease_request, send_stop_messages,
};
use super::primary_change::run_primary_change;
use super::record_maintenance::maintain_record;
use super::record_restore::restore_records;
use super::schedule::{control_schedule, has_unusable};
use super::state_fetch::fetch_state;
use crate::adapter::{PlatformClient, ServerRole, SessionCodec, WriteOutcome};
use crate::group::GroupState;
use crate::target::TargetHandle;

/// Name of the leadership record in the platform's store.
pub(super) const LEADER_RECORD: &str = "duty";
/// Maximum time for running work to finish before this instance stops using a primary that is
/// being replaced.
const CLOSE_GRACE_PERIOD: Duration = Duration::from_millis(250);
/// Minimum interval between requests that callers wait for.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(8);
/// Interval between the requests of a started instance until it learns of a leader. It can't use
/// an interval that depends on the number of instances, which it doesn't know yet.
const FIRST_REQUEST_RETRY: Duration = Duration::from_millis(300);
/// Time after which a primary that reports the replica role counts as replaced by a promotion that
/// the leader did not order.
const DISPLACED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The state of the control loop between its iterations.
#[derive(Debug, Default)]
struct ControlTaskState {
    leadership: LeadershipState,
    requested_at: Option<MonotonicTime>,
    has_urgent_request: bool,
    allowance_requested_at: Option<MonotonicTime>,
    needs_allowance: bool,
    is_accessing_store: Rc<Cell<bool>>,
    last_record: Option<LeaderRecord>,
    displaced_since: HashMap<ServiceId, MonotonicTime>,
}

/// Runs the control loop until the process ends: the election, the lease requests and, on the
/// leader, the maintenance of groups and gateways.
pub async fn run_control<W: SessionCodec, P: PlatformClient>(control: Rc<ControlState<P>>) {
    let mut state = ControlTaskState::default();
    loop {
        let now = control.node.clock.now();
        metrics::counter!("resident_control_looks_total").increment(1);
        control.update_store_era();
        control.node.expire_evacuations(now);
        update_leadership(&control, &mut state, now);
        advance_election(&control, &state, now);
        let is_closing = close_epochs(&control, now);
        send_requests(&control, &mut state, now);
        if state.leadership.is_granting() {
            notify_pending_voters(&control, now);
            restore_records(&control);
            maintain_gateways(&control, now);
            maintain_groups::<W, P>(&control, &mut state, now);
        }
        check_leases(&control, now);
        control.node.check_copies(now);
        send_copy_queries(&control, now);
        fetch_newer_state(&control, now);
        let has_pending_request = state.has_urgent_request || state.needs_allowance;
        let flags = (
            is_closing,
            state.leadership.is_granting(),
            has_pending_request,
        );
        let schedule =
            control_schedule(&control, state.requested_at.unwrap_or_default(), flags, now);
        tokio::select! {
            () = sleep(schedule.delay()) => {}
            () = control.wake.notified() => {}
            () = control.node.allowance_request_due.notified() => state.needs_allowance = true,
            () = control.node.leader_request_due.notified() => state.has_urgent_request = true,
        }
    }
}

fn update_leadership<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    state: &mut ControlTaskState,
    now: MonotonicTime,
) {
    let (change, record) = {
        let election = control.node.election.borrow();
        let change = state.leadership.update(&election, now);
        (change, election.known_leader().cloned())
    };
    let fence = record.as_ref().map_or(0, |record| record.fence);
    match change {
        Some(LeadershipChange::Gained) => {
            let predecessor = state.last_record.take();
            event::LEADERSHIP_GAINED.log(format_args!(
                "fence={fence} before={:?}",
                predecessor.as_ref().map(|record| record.holder.as_str())
            ));
            begin_leadership(control, predecessor, fence, now);
        }
        Some(LeadershipChange::Resumed) => {
            event::LEADERSHIP_RESUMED.log(format_args!("fence={fence}"));
            announce_leadership(control);
        }
        Some(LeadershipChange::Suspended) => {
            event::LEADERSHIP_SUSPENDED.log(format_args!("fence={fence}"));
        }
        Some(LeadershipChange::Lost) => {
            event::LEADERSHIP_LOST.log(format_args!("cause=replaced"));
            control.end_groups();
        }
        None => {}
    }
    if !state.leadership.is_held() {
        state.last_record = record;
    }
}

/// Replaces the state of an earlier leadership.
fn begin_leadership<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    predecessor: Option<LeaderRecord>,
    fence: u64,
    now: MonotonicTime,
) {
    control.predecessor.replace(predecessor);
    control.end_groups();
    control.records.borrow_mut().clear();
    let has_granted = control.granted_at.get() != MonotonicTime::default();
    control.rate_limiter.replace(if has_granted {
        RateLimiter::default()
    } else {
        RateLimiter::without_predecessor()
    });
    control.leader_since.set(now);
    reset_gateways(control, fence);
    announce_leadership(control);
    control.elected.notify_waiters();
}

fn advance_election<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    state: &ControlTaskState,
    now: MonotonicTime,
) {
    if state.is_accessing_store.get() {
        return;
    }
    let mut step = control.node.election.borrow().next_step(now);
    if step == ElectionStep::Wait {
        return;
    }
    if state.leadership.is_granting() && matches!(step, ElectionStep::Write { .. }) {
        let mut election = control.node.election.borrow_mut();
        let current = election
            .held_record()
            .map(|(record, _, _)| &record.voters[..]);
        let voters = control
            .instances
            .borrow()
            .voters(current.unwrap_or_default(), now);
        election.set_voters(voters);
        step = election.next_step(now);
    }
    state.is_accessing_store.set(true);
    let (control, is_accessing_store) = (Rc::clone(control), Rc::clone(&state.is_accessing_store));
    spawn_local(async move {
        match step {
            ElectionStep::Read => read_leader_record(&control).await,
            ElectionStep::Write { record, expected } => {
                write_leader_record(&control, record, expected).await;
            }
            ElectionStep::Wait => {}
        }
        is_accessing_store.set(false);
        control.wake.notify_one();
    });
}

async fn read_leader_record<P: PlatformClient>(control: &ControlState<P>) {
    let sent_at = control.node.clock.now();
    control.node.election.borrow_mut().record_read_sent(sent_at);
    let stored = match control.platform.read_record(LEADER_RECORD).await {
        Ok(stored) => stored,
        Err(error) => return control.record_store_result(Err(&error)),
    };
    control.record_store_result(Ok(()));
    control.update_store_era();
    let stored = match stored {
        None => None,
        Some((revision, body)) => match serde_json::from_value::<LeaderRecord>(body) {
            Ok(record) => Some((revision, record)),
            Err(error) => {
                event::ENTRY_IGNORED.log(format_args!(
                    "record={LEADER_RECORD} error={:?}",
                    error.to_string()
                ));
                let now = control.node.clock.now();
                let mut election = control.node.election.borrow_mut();
                return election.observe_unreadable(revision, now);
            }
        },
    };
    let now = control.node.clock.now();
    control
        .node
        .election
        .borrow_mut()
        .observe_record(stored, sent_at, now);
}

async fn write_leader_record<P: PlatformClient>(
    control: &ControlState<P>,
    record: LeaderRecord,
    expected: Option<RecordRevision>,
) {
    let sent_at = control.node.clock.now();
    control
        .node
        .election
        .borrow_mut()
        .record_write_sent(&record, sent_at);
    let body = serde_json::to_value(&record).unwrap_or_default();
    let response = control
        .platform
        .write_record(LEADER_RECORD, body, expected)
        .await;
    control.update_store_era();
    let is_retired = control.node.election.borrow().is_retired();
    if let WriteOutcome::Done(revision) = response
        && is_retired
    {
        return release_record(control, record, revision).await;
    }
    let mut election = control.node.election.borrow_mut();
    match response {
        WriteOutcome::Done(revision) => {
            election.confirm_write(revision, record, sent_at);
            drop(election);
            control.record_store_result(Ok(()));
        }
        WriteOutcome::Conflict => election.mark_stale(),
        WriteOutcome::NotDone(error) => {
            drop(election);
            control.record_store_result(Err(&error));
        }
        WriteOutcome::Unknown(error) => {
            election.mark_stale();
            drop(election);
            control.record_store_result(Err(&error));
        }
    }
}

/// Stops using primaries that are being replaced, once their running work has finished or
/// [`CLOSE_GRACE_PERIOD`] has passed.
///
/// Returns whether work is still running on one of them.
fn close_epochs<P: PlatformClient>(control: &ControlState<P>, now: MonotonicTime) -> bool {
    let mut is_closing = false;
    for group in control.node.groups() {
        let mut leases = control.node.leases.borrow_mut();
        let Some(state) = leases.newest(group.service()) else {
            continue;
        };
        let Some(since) = state.closing_since.filter(|_| !state.is_stopped) else {
            continue;
        };
        let epoch = state.epoch;
        let target = group.find(state.primary);
        let is_idle =
            target.is_none_or(|target| target.health().is_failing() || target.load() == 0);
        if is_idle || now.saturating_since(since) >= CLOSE_GRACE_PERIOD {
            leases.stop(group.service(), epoch);
            group.notify_epoch_ended();
            event::PRIMARY_STOPPED.log(format_args!(
                "service={} epoch={epoch} idle={is_idle}",
                group.service()
            ));
            // The next iteration of the control loop reports this to the leader.
            control.wake.notify_one();
        } else {
            is_closing = true;
        }
    }
    is_closing
}

fn send_requests<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    state: &mut ControlTaskState,
    now: MonotonicTime,
) {
    let is_urgent = has_unusable(control, now);
    let settings = &control.node.lease_settings;
    let has_granted = control.granted_at.get() != MonotonicTime::default();
    let has_hint = control.is_hint_new.get();
    let interval = if state.has_urgent_request && (has_granted || has_hint) {
        MIN_REQUEST_INTERVAL
    } else if !has_granted {
        FIRST_REQUEST_RETRY
    } else if is_urgent {
        settings.urgent_request_interval(control.node.instances())
    } else {
        settings.request_interval
    };
    let is_due = |at: Option<MonotonicTime>, interval: Duration| {
        at.is_none_or(|at| now.saturating_since(at) >= interval)
    };
    if control.is_promoting.get() {
        return;
    }
    if is_due(state.requested_at, interval) {
        state.requested_at = Some(now);
        state.has_urgent_request = false;
        send_lease_request(control, now);
    }
    // Before the first grant, the leader has more urgent work than to admit more operations.
    if state.needs_allowance
        && has_granted
        && is_due(state.allowance_requested_at, MIN_REQUEST_INTERVAL)
    {
        state.allowance_requested_at = Some(now);
        state.needs_allowance = false;
        send_allowance_request(control, now);
    }
}

fn check_leases<P>(control: &ControlState<P>, now: MonotonicTime) {
    let age = now.saturating_since(control.granted_at.get());
    metrics::gauge!("resident_lease_age_seconds").set(age.as_secs_f64());
    for group in control.node.groups() {
        let is_usable = control.node.usable_primary(&group, now).is_some();
        if !is_usable && group.set_leased(false) {
            event::LEASE_LOST.log(format_args!(
                "service={} epoch={}",
                group.service(),
                group.epoch()
            ));
        }
        if control.node.serving_primary(&group, now).is_none() {
            group.set_usable(false, now);
        }
    }
}

fn fetch_newer_state<P: PlatformClient>(control: &Rc<ControlState<P>>, now: MonotonicTime) {
    let Some(newer) = control.newer_state.get() else {
        return;
    };
    let has_no_plan = control.node.plan().version().get() == 0;
    if has_no_plan || now >= newer.due_at {
        control.newer_state.set(None);
        spawn_local(fetch_state(Rc::clone(control), newer));
    }
}

fn maintain_groups<W: SessionCodec, P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    state: &mut ControlTaskState,
    now: MonotonicTime,
) {
    let may_promote = control.node.election.borrow().may_promote(now);
    if !may_promote && let Some(predecessor) = control.predecessor.borrow().as_ref() {
        let election = control.node.election.borrow();
        if let Some((record, _, _)) = election.held_record() {
            send_leader_hint(control, record, predecessor.address);
        }
    }
    for group in control.node.groups() {
        let service = group.service().clone();
        if control.busy_groups.borrow().contains(&service) {
            send_stop_messages(control, &service, now);
            continue;
        }
        if !control.group_leases.borrow().contains_key(&service) {
            if !group.targets().is_empty() {
                control.busy_groups.borrow_mut().insert(service.clone());
                spawn_local(set_up_group::<W, P>(Rc::clone(control), group));
            }
            continue;
        }
        let cause = find_change_cause(control, state, &service, now);
        if let Some(cause) = cause
            && may_promote
            && let Some(leases) = control.group_leases.borrow_mut().get_mut(&service)
        {
            leases.begin_stop(cause, now);
            event::PRIMARY_SUSPECTED.log(format_args!(
                "service={service} epoch={} primary={} cause={cause}",
                leases.epoch(),
                leases.primary()
            ));
        }
        send_stop_messages(control, &service, now);
        let is_stopping = control
            .group_leases
            .borrow()
            .get(&service)
            .is_some_and(|leases| leases.phase() != GroupPhase::Serving);
        if is_stopping {
            control.busy_groups.borrow_mut().insert(service);
            spawn_local(run_primary_change::<W, P>(Rc::clone(control), group));
        } else {
            maintain_record::<W, P>(control, &group, now);
        }
    }
}

/// Returns whether the primary's zone is evacuated and a target elsewhere can take over.
///
/// Without such a target the primary keeps its role: it serves until the time for handing over is
/// up, and again when the evacuation ends.
pub(super) fn is_handover_due(
    group: &GroupState,
    primary: &TargetHandle,
    now: MonotonicTime,
) -> bool {
    let may_take_over = |target: &Rc<TargetHandle>| {
        target.id() != primary.id()
            && !target.is_leaving()
            && !target.health().is_failing()
            && !target.target_use(now).is_restricted()
    };
    primary.target_use(now).is_restricted() && group.targets().iter().any(may_take_over)
}

fn find_change_cause<P>(
    control: &ControlState<P>,
    state: &mut ControlTaskState,
    service: &ServiceId,
    now: MonotonicTime,
) -> Option<ChangeCause> {
    let group_leases = control.group_leases.borrow();
    let leases = group_leases.get(service)?;
    if leases.phase() != GroupPhase::Serving {
        return None;
    }
    if leases.is_failed(now) {
        return Some(ChangeCause::Unreachable);
    }
    if leases.is_abandoned() {
        return Some(ChangeCause::Abandoned);
    }
    let group = control.node.group(service);
    let Some(target) = group.find(leases.primary()) else {
        return Some(ChangeCause::Leaving);
    };
    if target.is_leaving() || is_handover_due(&group, &target, now) {
        return Some(ChangeCause::Leaving);
    }
    if target.entry().role == ServerRole::Primary {
        state.displaced_since.remove(service);
        return None;
    }
    let since = *state.displaced_since.entry(service.clone()).or_insert(now);
    (now.saturating_since(since) >= DISPLACED_TIMEOUT).then_some(ChangeCause::Displaced)
}
