use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{MonotonicTime, ServiceId};
use mustardhinge_core::primary_lease::{
    ChangeCause, ElectionStep, GroupPhase, LeaderRecord, RecordRevision,
};
use mustardhinge_process::event;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::ControlState;
use super::change_driver::drive_change;
use super::control_rest::{has_unusable, pace_of};
use super::gateway_tender::{begin_gateways, tend_gateways};
use super::group_setup::set_up_group;
use super::peer_exchange::{
    send_ask, send_first_hints, send_hint, send_spending_ask, send_stops, send_voter_hints,
};
use super::plan_relay::fetch_state;
use crate::adapter::{PlatformClient, ServerRole, SessionCodec, WriteOutcome};

/// The name of the record that says who holds the duty.
const DUTY_RECORD: &str = "duty";
/// Pause between two messages that say that the duty is given up.
const TELL_PAUSE: Duration = Duration::from_millis(20);
/// Work at a primary that is to be replaced as planned may end for this long.
const CLOSE_GRACE: Duration = Duration::from_millis(250);
/// Least pause between two asks that callers wait for.
const ASKED_PAUSE: Duration = Duration::from_millis(8);
/// Pause after which a started instance asks again, if it doesn't hear of a holder before. It
/// doesn't know yet how many others do the same.
const FIRST_ASK_AGAIN: Duration = Duration::from_millis(300);
/// News of other instances is waited for this long to come from the store.
const STORE_FIRST: Duration = Duration::from_millis(400);
/// A primary that calls itself a replica for this long was replaced by somebody else.
const DISPLACED_AFTER: Duration = Duration::from_millis(1_500);

#[derive(Debug, Default)]
struct DutyMemory {
    is_holder: bool,
    asked_at: Option<MonotonicTime>,
    has_news: bool,
    spending_asked_at: Option<MonotonicTime>,
    needs_spending: bool,
    in_store: Rc<Cell<bool>>,
    last_record: Option<LeaderRecord>,
    displaced_since: HashMap<ServiceId, MonotonicTime>,
}

/// Keeps leases and duty until the process ends.
pub async fn run_duty<W: SessionCodec, P: PlatformClient>(control: Rc<ControlState<P>>) {
    let mut memory = DutyMemory::default();
    loop {
        let now = control.node.clock.now();
        metrics::counter!("resident_control_looks_total").increment(1);
        follow_duty(&control, &mut memory, now);
        step_duty(&control, &memory, now);
        let is_closing = close_epochs(&control, now);
        ask(&control, &mut memory, now);
        if memory.is_holder {
            send_voter_hints(&control, now);
            tend_gateways(&control, now);
            tend_groups::<W, P>(&control, &mut memory, now);
        }
        watch_leases(&control, now);
        fetch_newer(&control, now);
        let is_waiting = memory.has_news || memory.needs_spending;
        let what = (is_closing, memory.is_holder, is_waiting);
        let pace = pace_of(&control, memory.asked_at.unwrap_or_default(), what, now);
        tokio::select! {
            () = sleep(pace.delay()) => {}
            () = control.wake.notified() => {}
            () = control.node.allowance_request_due.notified() => memory.needs_spending = true,
            () = control.node.leader_request_due.notified() => memory.has_news = true,
        }
    }
}

/// Gives the duty up, for a planned stop.
pub async fn release_duty<P: PlatformClient>(control: &ControlState<P>) {
    let now = control.node.clock.now();
    let release = control.node.election.borrow().release(now);
    let Some((record, revision)) = release else {
        return;
    };
    control.node.election.borrow_mut().retire();
    let body = serde_json::to_value(&record).unwrap_or_default();
    let answer = control
        .platform
        .write_record(DUTY_RECORD, body, Some(revision))
        .await;
    event::DUTY_LOST.log(format_args!(
        "fence={} cause=stop answer={answer:?}",
        record.fence
    ));
    for _ in 0..2 {
        let known = control.instances.borrow().addresses();
        for address in known {
            send_hint(control, &record, address);
        }
        sleep(TELL_PAUSE).await;
    }
}

fn follow_duty<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    memory: &mut DutyMemory,
    now: MonotonicTime,
) {
    let is_holder = control.node.election.borrow().may_grant(now);
    let record = control.node.election.borrow().known_leader().cloned();
    if is_holder && !memory.is_holder {
        let fence = record.as_ref().map_or(0, |record| record.fence);
        event::DUTY_GAINED.log(format_args!(
            "fence={fence} before={:?}",
            memory
                .last_record
                .as_ref()
                .map(|record| record.holder.as_str())
        ));
        control.predecessor.replace(memory.last_record.clone());
        control.desks.borrow_mut().clear();
        control.records.borrow_mut().clear();
        control.book.take();
        control.holder_since.set(now);
        begin_gateways(control, fence);
        send_first_hints(control);
    }
    if !is_holder && memory.is_holder {
        event::DUTY_LOST.log(format_args!("cause=replaced_or_not_renewed"));
        control.desks.borrow_mut().clear();
    }
    memory.is_holder = is_holder;
    if !is_holder {
        memory.last_record = record;
    }
}

fn step_duty<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    memory: &DutyMemory,
    now: MonotonicTime,
) {
    if memory.in_store.get() {
        return;
    }
    let mut step = control.node.election.borrow().next_step(now);
    if step == ElectionStep::Wait {
        return;
    }
    if memory.is_holder && matches!(step, ElectionStep::Write { .. }) {
        let mut duty = control.node.election.borrow_mut();
        let present = duty.held_record().map(|(record, _, _)| &record.voters[..]);
        let voters = control
            .instances
            .borrow()
            .voters(present.unwrap_or_default(), now);
        duty.set_voters(voters);
        step = duty.next_step(now);
    }
    memory.in_store.set(true);
    let (control, in_store) = (Rc::clone(control), Rc::clone(&memory.in_store));
    spawn_local(async move {
        match step {
            ElectionStep::Read => read_duty(&control).await,
            ElectionStep::Write { record, expected } => {
                write_duty(&control, record, expected).await
            }
            ElectionStep::Wait => {}
        }
        in_store.set(false);
        control.wake.notify_one();
    });
}

async fn read_duty<P: PlatformClient>(control: &ControlState<P>) {
    let sent_at = control.node.clock.now();
    control.node.election.borrow_mut().record_read_sent(sent_at);
    let stored = match control.platform.read_record(DUTY_RECORD).await {
        Ok(stored) => stored,
        Err(error) => return control.note_store(Err(&error)),
    };
    control.note_store(Ok(()));
    let stored = match stored {
        None => None,
        Some((revision, body)) => match serde_json::from_value::<LeaderRecord>(body) {
            Ok(record) => Some((revision, record)),
            Err(error) => {
                event::ENTRY_IGNORED.log(format_args!(
                    "record={DUTY_RECORD} error={:?}",
                    error.to_string()
                ));
                return;
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

async fn write_duty<P: PlatformClient>(
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
    let answer = control
        .platform
        .write_record(DUTY_RECORD, body, expected)
        .await;
    let mut duty = control.node.election.borrow_mut();
    match answer {
        WriteOutcome::Done(revision) => {
            duty.confirm_write(revision, record, sent_at);
            drop(duty);
            control.note_store(Ok(()));
        }
        WriteOutcome::Conflict => duty.mark_stale(),
        WriteOutcome::NotDone(error) => {
            drop(duty);
            control.note_store(Err(&error));
        }
        WriteOutcome::Unknown(error) => {
            duty.mark_stale();
            drop(duty);
            control.note_store(Err(&error));
        }
    }
}

/// Ends the use of primaries that are to be replaced, once running work is done.
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
        if is_idle || now.saturating_since(since) >= CLOSE_GRACE {
            leases.stop(group.service(), epoch);
            group.notify_epoch_ended();
            event::PRIMARY_STOPPED.log(format_args!(
                "service={} epoch={epoch} idle={is_idle}",
                group.service()
            ));
            // The next tick tells the holder.
            control.wake.notify_one();
        } else {
            is_closing = true;
        }
    }
    is_closing
}

fn ask<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    memory: &mut DutyMemory,
    now: MonotonicTime,
) {
    let is_urgent = has_unusable(control, now);
    let primacy = &control.node.lease_settings;
    let has_granted = control.granted_at.get() != MonotonicTime::default();
    let has_hint = control.is_hint_new.get();
    let pause = if memory.has_news && (has_granted || has_hint) {
        ASKED_PAUSE
    } else if !has_granted {
        FIRST_ASK_AGAIN
    } else if is_urgent {
        primacy.urgent_request_interval(control.node.instances())
    } else {
        primacy.request_interval
    };
    let is_due = |at: Option<MonotonicTime>, pause: Duration| {
        at.is_none_or(|at| now.saturating_since(at) >= pause)
    };
    if control.is_promoting.get() {
        return;
    }
    if is_due(memory.asked_at, pause) {
        memory.asked_at = Some(now);
        memory.has_news = false;
        send_ask(control, now);
    }
    // Before the first grant the holder has more to do than to allow one operation more.
    if memory.needs_spending && has_granted && is_due(memory.spending_asked_at, ASKED_PAUSE) {
        memory.spending_asked_at = Some(now);
        memory.needs_spending = false;
        send_spending_ask(control, now);
    }
}

fn watch_leases<P>(control: &ControlState<P>, now: MonotonicTime) {
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

fn fetch_newer<P: PlatformClient>(control: &Rc<ControlState<P>>, now: MonotonicTime) {
    let Some((address, since)) = control.newer_at.get() else {
        return;
    };
    let knows_nothing = control.node.plan().version().get() == 0;
    if knows_nothing || now.saturating_since(since) >= STORE_FIRST {
        control.newer_at.set(None);
        spawn_local(fetch_state(Rc::clone(control), address));
    }
}

fn tend_groups<W: SessionCodec, P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    memory: &mut DutyMemory,
    now: MonotonicTime,
) {
    let may_promote = control.node.election.borrow().may_promote(now);
    if !may_promote && let Some(predecessor) = control.predecessor.borrow().as_ref() {
        let duty = control.node.election.borrow();
        if let Some((record, _, _)) = duty.held_record() {
            send_hint(control, record, predecessor.address);
        }
    }
    for group in control.node.groups() {
        let service = group.service().clone();
        if control.in_work.borrow().contains(&service) {
            send_stops(control, &service, now);
            continue;
        }
        if !control.desks.borrow().contains_key(&service) {
            if !group.targets().is_empty() {
                control.in_work.borrow_mut().insert(service.clone());
                spawn_local(set_up_group::<W, P>(Rc::clone(control), group));
            }
            continue;
        }
        let cause = find_cause(control, memory, &service, now);
        if let Some(cause) = cause
            && may_promote
            && let Some(desk) = control.desks.borrow_mut().get_mut(&service)
        {
            desk.begin_stop(cause, now);
            event::PRIMARY_SUSPECTED.log(format_args!(
                "service={service} epoch={} primary={} cause={cause}",
                desk.epoch(),
                desk.primary()
            ));
        }
        send_stops(control, &service, now);
        let is_stopping = control
            .desks
            .borrow()
            .get(&service)
            .is_some_and(|desk| desk.phase() != GroupPhase::Serving);
        if is_stopping {
            control.in_work.borrow_mut().insert(service);
            spawn_local(drive_change::<W, P>(Rc::clone(control), group));
        }
    }
}

fn find_cause<P>(
    control: &ControlState<P>,
    memory: &mut DutyMemory,
    service: &ServiceId,
    now: MonotonicTime,
) -> Option<ChangeCause> {
    let desks = control.desks.borrow();
    let desk = desks.get(service)?;
    if desk.phase() != GroupPhase::Serving {
        return None;
    }
    if desk.is_failed(now) {
        return Some(ChangeCause::Unreachable);
    }
    let group = control.node.group(service);
    let Some(target) = group.find(desk.primary()) else {
        return Some(ChangeCause::Leaving);
    };
    if target.is_leaving() {
        return Some(ChangeCause::Leaving);
    }
    if target.entry().role == ServerRole::Primary {
        memory.displaced_since.remove(service);
        return None;
    }
    let since = *memory.displaced_since.entry(service.clone()).or_insert(now);
    (now.saturating_since(since) >= DISPLACED_AFTER).then_some(ChangeCause::Displaced)
}
