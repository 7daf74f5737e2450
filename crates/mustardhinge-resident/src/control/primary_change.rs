use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{LeaderTerm, MonotonicTime, ServiceId, TargetId};
use mustardhinge_core::primary_lease::{
    ChangeCause, CommitCheck, GroupEpoch, GroupPhase, OrderOutcome, ServerStatus, SuccessorChoice,
};
use mustardhinge_process::event;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::ControlState;
use super::group_setup::{NewGroupRecord, may_keep_primary, query_targets, write_group_record};
use super::record_maintenance::listed_members;
use super::successor_wait::SuccessorWait;
use crate::adapter::{
    PlatformClient, PromotionOutcome, PromotionRequest, ProxyStatement, ServerRole, SessionCodec,
    StatusReport,
};
use crate::group::GroupState;
use crate::session::request_status;

/// Interval between checks of the progress of a change.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between status requests to a target that is being promoted.
const PROMOTION_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Time after which a promotion that has not taken effect is abandoned; several times the usual
/// duration of a promotion.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Interval after which a promotion is ordered again.
const PROMOTE_RETRY_INTERVAL: Duration = Duration::from_millis(1_200);
/// Timeout of the platform call that orders a promotion.
const PROMOTE_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of attempts to demote a replaced primary.
const DEMOTE_ATTEMPTS: usize = 10;
/// Interval between attempts to demote a replaced primary.
const DEMOTE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Replaces a group's primary: waits until no instance uses it, then chooses, records and
/// promotes its successor.
pub(super) async fn run_primary_change<W: SessionCodec, P: PlatformClient>(
    control: Rc<ControlState<P>>,
    group: Rc<GroupState>,
) {
    let service = group.service().clone();
    let was_failing = is_primary_failing(&control, &group);
    let mut wait = SuccessorWait::default();
    while is_changing(&control, &service) {
        let now = control.node.clock.now();
        if !control.node.election.borrow().may_grant(now) {
            break;
        }
        let has_stopped = has_stopped_use(&control, &service, now);
        if has_stopped && try_replace::<W, P>(&control, &group, was_failing, &mut wait).await {
            break;
        }
        sleep(CHANGE_POLL_INTERVAL).await;
    }
    control.busy_groups.borrow_mut().remove(&service);
    control.wake.notify_one();
}

/// Returns whether the group's primary is failing as seen by this instance, or is no longer a
/// target of the group.
fn is_primary_failing<P>(control: &ControlState<P>, group: &GroupState) -> bool {
    let group_leases = control.group_leases.borrow();
    let primary = group_leases
        .get(group.service())
        .and_then(|leases| group.find(leases.primary()));
    primary.is_none_or(|target| target.health().is_failing())
}

/// Returns whether the group's primary is still being replaced.
fn is_changing<P>(control: &ControlState<P>, service: &ServiceId) -> bool {
    let group_leases = control.group_leases.borrow();
    group_leases
        .get(service)
        .is_some_and(|leases| leases.phase() != GroupPhase::Serving)
}

/// Advances the replacement and returns whether no instance uses the primary any more.
fn has_stopped_use<P>(control: &ControlState<P>, service: &ServiceId, now: MonotonicTime) -> bool {
    let mut group_leases = control.group_leases.borrow_mut();
    let Some(leases) = group_leases.get_mut(service) else {
        return false;
    };
    if leases.advance(now) {
        event::PRIMARY_STOPPED.log(format_args!(
            "service={service} epoch={} by=all",
            leases.epoch()
        ));
    }
    matches!(leases.phase(), GroupPhase::Replacing { .. })
}

/// Replaces the primary if a successor is available. Returns whether the change is finished.
async fn try_replace<W: SessionCodec, P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
    was_failing: bool,
    wait: &mut SuccessorWait,
) -> bool {
    let service = group.service();
    let Some((old, term, cause)) = replaced_primary(control, service) else {
        return true;
    };
    let confirming = control.node.plan().confirming_replicas(service);
    let is_needed = |target: &TargetId| !confirming.is_none() && *target != old;
    let asked_at = control.node.clock.now();
    let statuses = query_targets::<W>(group, is_needed).await;
    let now = control.node.clock.now();
    let server_statuses = to_server_statuses(group, &statuses, now);
    record_statuses(control, group, &server_statuses, asked_at);
    let is_cold = |target: &TargetId| control.node.is_cold((service, target), now);
    let choose =
        |may_keep| SuccessorChoice::choose_warm(&server_statuses, is_cold, &old, term, may_keep);
    let may_keep = may_keep_primary(cause, was_failing)
        || cause == ChangeCause::Leaving && has_stopped_leaving(group, &old, now);
    let is_distrusted = group
        .find(&old)
        .is_some_and(|target| target.is_distrusted());
    let choice = match choose(may_keep && !is_distrusted) {
        // Without a successor, only statements can show whether the old primary works again.
        SuccessorChoice::Wait => choose(may_keep),
        choice => choice,
    };
    let choice = wait.require_commits(control, service, (choice, &server_statuses), confirming);
    match restrict_choice(control, service, choice, (&old, &server_statuses), term) {
        SuccessorChoice::Adopt(primary, term) => {
            adopt_primary(control, group, &primary, term).await
        }
        SuccessorChoice::Promote(candidate) => {
            let now = control.node.clock.now();
            if !may_take_over(control, group, &server_statuses, &candidate, now) {
                return false;
            }
            wait.end(service, now);
            promote::<W, P>(control, group, &candidate, &old).await
        }
        SuccessorChoice::Wait => false,
    }
}

/// Returns whether a primary that was to hand over is listed and neither leaves nor is evacuated
/// any more, so that it can stay if no other target has taken over.
fn has_stopped_leaving(group: &GroupState, primary: &TargetId, now: MonotonicTime) -> bool {
    group
        .find(primary)
        .is_some_and(|target| !target.is_leaving() && !target.target_use(now).is_restricted())
}

/// Restricts the choice to the target of an order to promote that may still take effect.
fn restrict_choice<P>(
    control: &ControlState<P>,
    service: &ServiceId,
    choice: SuccessorChoice,
    (old, server_statuses): (&TargetId, &[ServerStatus]),
    term: LeaderTerm,
) -> SuccessorChoice {
    let now = control.node.clock.now();
    match control.promotion_orders.borrow().get(service) {
        Some(orders) => orders.restrict(choice, old, (server_statuses, term), now),
        None => choice,
    }
}

fn record_order<P>(
    control: &ControlState<P>,
    order: &PromotionRequest,
    sent_at: MonotonicTime,
    outcome: OrderOutcome,
) {
    let mut orders = control.promotion_orders.borrow_mut();
    let orders = orders.entry(order.service.clone()).or_default();
    orders.record(&order.target, sent_at, outcome);
}

pub(super) fn to_server_statuses(
    group: &GroupState,
    statuses: &[(TargetId, StatusReport)],
    now: MonotonicTime,
) -> Vec<ServerStatus> {
    let server_statuses = statuses.iter().map(|(target, report)| ServerStatus {
        target: target.clone(),
        is_primary: report.role == ServerRole::Primary,
        term: report.term,
        received: report.received,
        is_leaving: group
            .find(target)
            .is_none_or(|handle| handle.is_leaving() || handle.target_use(now).is_restricted()),
    });
    server_statuses.collect()
}

fn replaced_primary<P>(
    control: &ControlState<P>,
    service: &ServiceId,
) -> Option<(TargetId, LeaderTerm, ChangeCause)> {
    let group_leases = control.group_leases.borrow();
    let leases = group_leases.get(service)?;
    match leases.phase() {
        GroupPhase::Replacing { cause, .. } => {
            Some((leases.primary().clone(), leases.term(), cause))
        }
        _ => None,
    }
}

/// Returns whether the candidate has received enough of the log to take over.
///
/// If the old primary still responds, its position counts as an observed position.
fn may_take_over<P>(
    control: &ControlState<P>,
    group: &GroupState,
    server_statuses: &[ServerStatus],
    candidate: &TargetId,
    now: MonotonicTime,
) -> bool {
    let mut group_leases = control.group_leases.borrow_mut();
    let Some(leases) = group_leases.get_mut(group.service()) else {
        return false;
    };
    let received = |id: &TargetId| {
        let found = server_statuses.iter().find(|status| status.target == *id);
        found.map(|status| status.received)
    };
    if let Some(position) = received(leases.primary()) {
        leases.observe_position(position);
    }
    let confirming = control.node.plan().confirming_replicas(group.service());
    let status = server_statuses
        .iter()
        .find(|status| status.target == *candidate);
    status.is_some_and(|status| {
        leases.may_take_over(status.received, now)
            && leases.search().check(status, confirming) == CommitCheck::Complete
    })
}

/// Records the positions of servers that were asked at `asked_at`, if no instance can have got an
/// acknowledgement from the old primary since.
fn record_statuses<P>(
    control: &ControlState<P>,
    group: &GroupState,
    server_statuses: &[ServerStatus],
    asked_at: MonotonicTime,
) {
    if !control.node.election.borrow().may_promote(asked_at) {
        return;
    }
    let mut group_leases = control.group_leases.borrow_mut();
    if let Some(leases) = group_leases.get_mut(group.service()) {
        let listed = group.targets().into_iter().map(|target| target.id());
        leases.record_statuses(listed, server_statuses);
    }
}

/// Records the candidate as the next primary and promotes it. Returns whether the change is
/// finished.
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
    let (replaced, members) = replaced_members(control, service);
    let record = NewGroupRecord::planned(epoch, candidate, term.next(), replaced.as_ref());
    if !write_group_record(control, service, record.members(&members)).await {
        return false;
    }
    let began = control.node.clock.now();
    let mut ordered_at: Option<MonotonicTime> = None;
    loop {
        let now = control.node.clock.now();
        if now.saturating_since(began) > PROMOTION_TIMEOUT {
            return false;
        }
        let is_due = ordered_at.is_none_or(|at| now.saturating_since(at) > PROMOTE_RETRY_INTERVAL);
        if is_due {
            if !control.node.election.borrow().may_promote(now) {
                return false;
            }
            ordered_at = Some(now);
            if !order_promotion(control, service, candidate).await {
                return false;
            }
        }
        if let Some(target) = group.find(candidate)
            && let Ok((Some(report), _)) =
                request_status::<W>(&target, &ProxyStatement::Status).await
            && report.role == ServerRole::Primary
        {
            demote::<W, P>(control, group, old, report.term);
            return confirm_promotion(control, group, epoch, (candidate, report.term)).await;
        }
        sleep(PROMOTION_POLL_INTERVAL).await;
    }
}

/// Records a promoted target as confirmed and begins its epoch. Returns whether the epoch has begun.
async fn confirm_promotion<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
    epoch: GroupEpoch,
    (target, term): (&TargetId, LeaderTerm),
) -> bool {
    let service = group.service();
    let members = listed_members(control, group, target);
    let record = NewGroupRecord::confirmed(epoch, target, term)
        .members(&members)
        .order_pending(has_other_order(control, service, target));
    if members.is_empty() {
        start_epoch(control, group, epoch, (target, term), Vec::new());
        // If this write is lost, the next leader queries the target instead.
        write_group_record(control, service, record).await;
        return true;
    }
    // Commits of the epoch depend on its members, so they have to be recorded first.
    let is_recorded = write_group_record(control, service, record).await;
    if is_recorded {
        start_epoch(control, group, epoch, (target, term), members);
    }
    is_recorded
}

/// Returns whether an order to promote a target of a group may still take effect.
pub(super) fn is_order_pending<P>(
    control: &ControlState<P>,
    service: &ServiceId,
    now: MonotonicTime,
) -> bool {
    let orders = control.promotion_orders.borrow();
    let orders = orders.get(service);
    orders.is_some_and(|orders| orders.pending(now).is_some())
}

/// Returns whether an order may still take effect besides the one that made `promoted` the primary.
fn has_other_order<P>(control: &ControlState<P>, service: &ServiceId, promoted: &TargetId) -> bool {
    let now = control.node.clock.now();
    let orders = control.promotion_orders.borrow().get(service).cloned();
    orders.is_some_and(|mut orders| {
        orders.record_promoted(promoted);
        orders.pending(now).is_some()
    })
}

/// Returns the primary that is replaced, if it is known, and the replicas that may have confirmed its
/// commits, if any have to.
fn replaced_members<P>(
    control: &ControlState<P>,
    service: &ServiceId,
) -> (Option<TargetId>, Vec<TargetId>) {
    let group_leases = control.group_leases.borrow();
    let Some(leases) = group_leases.get(service) else {
        return (None, Vec::new());
    };
    let search = leases.search();
    let members = search.members().cloned();
    let confirming = control.node.plan().confirming_replicas(service);
    let members = members.filter(|_| !confirming.is_none()).collect();
    (search.primary().cloned(), members)
}

/// Orders the promotion through the platform. Returns whether it may take effect; an order without
/// a response may have been carried out.
async fn order_promotion<P: PlatformClient>(
    control: &ControlState<P>,
    service: &ServiceId,
    candidate: &TargetId,
) -> bool {
    let order = {
        let election = control.node.election.borrow();
        let Some((record, _, _)) = election.held_record() else {
            return false;
        };
        PromotionRequest {
            service: service.clone(),
            target: candidate.clone(),
            leader: record.holder.clone(),
            fence: record.fence,
        }
    };
    let sent_at = control.node.clock.now();
    control.is_promoting.set(true);
    let response = timeout(PROMOTE_CALL_TIMEOUT, control.platform.promote(&order)).await;
    control.is_promoting.set(false);
    event::PROMOTE_ORDERED.log(format_args!(
        "service={service} target={candidate} fence={} answer={response:?}",
        order.fence
    ));
    let outcome = match response {
        Ok(PromotionOutcome::Accepted) => OrderOutcome::Accepted,
        Ok(PromotionOutcome::Rejected(_) | PromotionOutcome::NotExecuted(_)) => {
            OrderOutcome::NotExecuted
        }
        Ok(PromotionOutcome::Unknown(_)) | Err(_) => OrderOutcome::Unknown,
    };
    record_order(control, &order, sent_at, outcome);
    !matches!(response, Ok(PromotionOutcome::Rejected(_)))
}

/// Demotes a replaced primary in the background, as soon as it is reachable.
fn demote<W: SessionCodec, P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
    old: &TargetId,
    term: LeaderTerm,
) {
    let (control, group, old) = (Rc::clone(control), Rc::clone(group), old.clone());
    spawn_local(async move {
        for _ in 0..DEMOTE_ATTEMPTS {
            let Some(target) = group.find(&old) else {
                return;
            };
            if request_status::<W>(&target, &ProxyStatement::Demote(term))
                .await
                .is_ok()
            {
                return;
            }
            sleep(DEMOTE_RETRY_INTERVAL).await;
        }
        log::debug!(
            "replaced primary {old} not notified of term {term} by instance {}",
            control.node.settings.instance
        );
    });
}

/// Records a target that is already primary as the primary of the next epoch.
async fn adopt_primary<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    group: &Rc<GroupState>,
    primary: &TargetId,
    term: LeaderTerm,
) -> bool {
    let service = group.service();
    let Some((epoch, _)) = next_epoch(control, service) else {
        return true;
    };
    let now = control.node.clock.now();
    let members = listed_members(control, group, primary);
    let record = NewGroupRecord::confirmed(epoch, primary, term)
        .members(&members)
        .order_pending(is_order_pending(control, service, now));
    if !write_group_record(control, service, record).await {
        return false;
    }
    start_epoch(control, group, epoch, (primary, term), members);
    true
}

fn next_epoch<P>(
    control: &ControlState<P>,
    service: &ServiceId,
) -> Option<(GroupEpoch, LeaderTerm)> {
    let group_leases = control.group_leases.borrow();
    let leases = group_leases.get(service)?;
    let records = control.records.borrow();
    let recorded = records
        .get(service)
        .map_or(leases.epoch(), |(_, record)| record.epoch);
    Some((recorded.max(leases.epoch()).next(), leases.term()))
}

fn start_epoch<P>(
    control: &ControlState<P>,
    group: &GroupState,
    epoch: GroupEpoch,
    (primary, term): (&TargetId, LeaderTerm),
    members: Vec<TargetId>,
) {
    let mut group_leases = control.group_leases.borrow_mut();
    if let Some(leases) = group_leases.get_mut(group.service()) {
        // A primary that is kept has not been promoted again.
        let is_promoted = leases.primary() != primary || leases.term() < term;
        let mut orders = control.promotion_orders.borrow_mut();
        if let Some(orders) = orders.get_mut(group.service()).filter(|_| is_promoted) {
            orders.record_promoted(primary);
        }
        leases.begin_epoch(epoch, primary.clone(), term);
        leases.set_members(members);
    }
    event::PRIMARY_PROMOTED.log(format_args!(
        "service={} epoch={epoch} target={primary} term={term}",
        group.service()
    ));
    control.wake.notify_one();
}
