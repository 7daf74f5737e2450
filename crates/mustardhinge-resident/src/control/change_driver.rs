use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{LeaderTerm, MonotonicTime, ServiceId, TargetId};
use mustardhinge_core::primary_lease::{
    ChangeCause, GroupEpoch, GroupPhase, ServerStatus, SuccessorChoice,
};
use mustardhinge_process::event;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::ControlState;
use super::group_setup::{NewRecord, ask_all, may_stay, write_record};
use crate::adapter::{
    PlatformClient, PromotionOutcome, PromotionRequest, ProxyStatement, ServerRole, SessionCodec,
    StatusReport,
};
use crate::group::GroupState;
use crate::session::ask_status;

/// Pause between two looks at how a change goes.
const LOOK_EVERY: Duration = Duration::from_millis(25);
/// Pause between two questions whether a promoted target leads.
const LEAD_EVERY: Duration = Duration::from_millis(60);
/// A promoted target that doesn't lead after this time is given up; several times the
/// usual time of a promotion.
const LEAD_LIMIT: Duration = Duration::from_millis(4_000);
/// An order to promote is repeated after this time.
const ORDER_AGAIN: Duration = Duration::from_millis(1_200);
/// Longest time for the platform to take an order.
const ORDER_LIMIT: Duration = Duration::from_millis(1_500);
/// How often a replaced primary is told so.
const DEMOTE_TRIES: usize = 10;
/// Pause between two of these.
const DEMOTE_EVERY: Duration = Duration::from_millis(500);

/// Replaces a group's primary: waits until nobody uses it, chooses, records and promotes
/// its successor.
pub(super) async fn drive_change<W: SessionCodec, P: PlatformClient>(
    control: Rc<ControlState<P>>,
    group: Rc<GroupState>,
) {
    let service = group.service().clone();
    let was_failing = is_failing(&control, &group);
    while is_changing(&control, &service) {
        let now = control.node.clock.now();
        if !control.node.election.borrow().may_grant(now) {
            break;
        }
        let has_ended = is_free(&control, &service, now);
        if has_ended && change::<W, P>(&control, &group, was_failing).await {
            break;
        }
        sleep(LOOK_EVERY).await;
    }
    control.in_work.borrow_mut().remove(&service);
    control.wake.notify_one();
}

fn is_failing<P>(control: &ControlState<P>, group: &GroupState) -> bool {
    let desks = control.desks.borrow();
    let primary = desks
        .get(group.service())
        .and_then(|desk| group.find(desk.primary()));
    primary.is_none_or(|target| target.health().is_failing())
}

fn is_changing<P>(control: &ControlState<P>, service: &ServiceId) -> bool {
    let desks = control.desks.borrow();
    desks
        .get(service)
        .is_some_and(|desk| desk.phase() != GroupPhase::Serving)
}

fn is_free<P>(control: &ControlState<P>, service: &ServiceId, now: MonotonicTime) -> bool {
    let mut desks = control.desks.borrow_mut();
    let Some(desk) = desks.get_mut(service) else {
        return false;
    };
    if desk.advance(now) {
        event::PRIMARY_STOPPED.log(format_args!(
            "service={service} epoch={} by=all",
            desk.epoch()
        ));
    }
    matches!(desk.phase(), GroupPhase::Replacing { .. })
}

async fn change<W: SessionCodec, P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
    was_failing: bool,
) -> bool {
    let service = group.service();
    let Some((old, term, cause)) = old_primary(control, service) else {
        return true;
    };
    let statuses = ask_all::<W>(group).await;
    let standings = standings_of(group, &statuses);
    let stays = may_stay(cause, was_failing);
    match SuccessorChoice::choose(&standings, &old, term, stays) {
        SuccessorChoice::Adopt(leader, term) => begin_epoch(control, group, &leader, term).await,
        SuccessorChoice::Promote(candidate) => {
            let now = control.node.clock.now();
            if !may_take_over(control, group, &standings, &candidate, now) {
                return false;
            }
            promote::<W, P>(control, group, &candidate, &old).await
        }
        SuccessorChoice::Wait => false,
    }
}

fn standings_of(group: &GroupState, statuses: &[(TargetId, StatusReport)]) -> Vec<ServerStatus> {
    let standings = statuses.iter().map(|(target, report)| ServerStatus {
        target: target.clone(),
        is_primary: report.role == ServerRole::Primary,
        term: report.term,
        received: report.received,
        is_leaving: group.find(target).is_none_or(|handle| handle.is_leaving()),
    });
    standings.collect()
}

fn old_primary<P>(
    control: &ControlState<P>,
    service: &ServiceId,
) -> Option<(TargetId, LeaderTerm, ChangeCause)> {
    let desks = control.desks.borrow();
    let desk = desks.get(service)?;
    match desk.phase() {
        GroupPhase::Replacing { cause, .. } => Some((desk.primary().clone(), desk.term(), cause)),
        _ => None,
    }
}

/// Returns whether the candidate has received enough; what the old primary has, if it
/// still answers, counts.
fn may_take_over<P>(
    control: &ControlState<P>,
    group: &GroupState,
    standings: &[ServerStatus],
    candidate: &TargetId,
    now: MonotonicTime,
) -> bool {
    let mut desks = control.desks.borrow_mut();
    let Some(desk) = desks.get_mut(group.service()) else {
        return false;
    };
    let received = |id: &TargetId| {
        let found = standings.iter().find(|standing| standing.target == *id);
        found.map(|standing| standing.received)
    };
    if let Some(position) = received(desk.primary()) {
        desk.observe_position(position);
    }
    received(candidate).is_some_and(|received| desk.may_take_over(received, now))
}

async fn promote<W: SessionCodec, P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
    candidate: &TargetId,
    old: &TargetId,
) -> bool {
    let service = group.service();
    let Some((epoch, term)) = next_epoch(control, service) else {
        return true;
    };
    let record = NewRecord::planned(epoch, candidate, term.next());
    if !write_record(control, service, record).await {
        return false;
    }
    let began = control.node.clock.now();
    let mut ordered_at: Option<MonotonicTime> = None;
    loop {
        let now = control.node.clock.now();
        if now.saturating_since(began) > LEAD_LIMIT {
            return false;
        }
        let is_due = ordered_at.is_none_or(|at| now.saturating_since(at) > ORDER_AGAIN);
        if is_due {
            if !control.node.election.borrow().may_promote(now) {
                return false;
            }
            ordered_at = Some(now);
            if !order(control, service, candidate).await {
                return false;
            }
        }
        if let Some(target) = group.find(candidate)
            && let Ok((Some(report), _)) = ask_status::<W>(&target, &ProxyStatement::Status).await
            && report.role == ServerRole::Primary
        {
            demote::<W, P>(control, group, old, report.term);
            open_epoch(control, group, epoch, candidate, report.term);
            // Without this write a new holder asks the target itself.
            let record = NewRecord::confirmed(epoch, candidate, report.term);
            write_record(control, service, record).await;
            return true;
        }
        sleep(LEAD_EVERY).await;
    }
}

async fn order<P: PlatformClient>(
    control: &ControlState<P>,
    service: &ServiceId,
    candidate: &TargetId,
) -> bool {
    let order = {
        let duty = control.node.election.borrow();
        let Some((record, _, _)) = duty.held_record() else {
            return false;
        };
        PromotionRequest {
            service: service.clone(),
            target: candidate.clone(),
            leader: record.holder.clone(),
            fence: record.fence,
        }
    };
    control.is_promoting.set(true);
    let answer = timeout(ORDER_LIMIT, control.platform.promote(&order)).await;
    control.is_promoting.set(false);
    event::PROMOTE_ORDERED.log(format_args!(
        "service={service} target={candidate} fence={} answer={answer:?}",
        order.fence
    ));
    !matches!(answer, Ok(PromotionOutcome::Rejected(_)))
}

/// Tells a replaced primary that it no longer leads, as soon as it can be reached.
fn demote<W: SessionCodec, P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
    old: &TargetId,
    term: LeaderTerm,
) {
    let (control, group, old) = (Rc::clone(control), Rc::clone(group), old.clone());
    spawn_local(async move {
        for _ in 0..DEMOTE_TRIES {
            let Some(target) = group.find(&old) else {
                return;
            };
            if ask_status::<W>(&target, &ProxyStatement::Demote(term))
                .await
                .is_ok()
            {
                return;
            }
            sleep(DEMOTE_EVERY).await;
        }
        log::debug!(
            "{old} not told of term {term}, instance {}",
            control.node.settings.instance
        );
    });
}

async fn begin_epoch<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
    leader: &TargetId,
    term: LeaderTerm,
) -> bool {
    let Some((epoch, _)) = next_epoch(control, group.service()) else {
        return true;
    };
    let record = NewRecord::confirmed(epoch, leader, term);
    if !write_record(control, group.service(), record).await {
        return false;
    }
    open_epoch(control, group, epoch, leader, term);
    true
}

fn next_epoch<P>(
    control: &ControlState<P>,
    service: &ServiceId,
) -> Option<(GroupEpoch, LeaderTerm)> {
    let desks = control.desks.borrow();
    let desk = desks.get(service)?;
    let records = control.records.borrow();
    let recorded = records
        .get(service)
        .map_or(desk.epoch(), |(_, record)| record.epoch);
    Some((recorded.max(desk.epoch()).next(), desk.term()))
}

fn open_epoch<P>(
    control: &ControlState<P>,
    group: &GroupState,
    epoch: GroupEpoch,
    primary: &TargetId,
    term: LeaderTerm,
) {
    let mut desks = control.desks.borrow_mut();
    if let Some(desk) = desks.get_mut(group.service()) {
        desk.begin_epoch(epoch, primary.clone(), term);
    }
    event::PRIMARY_PROMOTED.log(format_args!(
        "service={} epoch={epoch} target={primary} term={term}",
        group.service()
    ));
    control.wake.notify_one();
}
