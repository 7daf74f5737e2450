use std::rc::Rc;

use mustardhinge_core::prelude::RefusalReason;
use mustardhinge_core::primary_lease::GroupEpoch;
use mustardhinge_process::event;

use super::read_path::{
    BUSY_RETRY, OwnCommit, ReadPlace, note_position, place_at_primary, place_read,
};
use super::write_path::pause;
use super::{
    EpochGuard, LinkStep, LinkWork, OpenTransaction, SessionRequest, SessionValues,
    StatementAnswer, WorkFault, run_work, watch_failure,
};
use crate::adapter::{SessionCodec, SessionRefusal, TargetFault, TransactionState};
use crate::node::NodeState;
use crate::plan::ReadRule;
use crate::target::{LinkError, LinkLease, TargetReply};

/// Targets at which a transaction is tried to begin.
const MOST_BEGINS: usize = 6;

/// Why a transaction was not begun at one target.
struct BeginFailure {
    answer: StatementAnswer,
    /// Whether trying again would not help.
    is_final: bool,
}

impl BeginFailure {
    const fn passing(answer: StatementAnswer) -> Self {
        Self {
            answer,
            is_final: false,
        }
    }
}

/// Runs a statement of an open transaction; the first one begins it at a target.
pub(super) async fn run_in_transaction<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    own: OwnCommit,
    transaction: &mut OpenTransaction,
) -> StatementAnswer {
    if let Err(answer) = ensure_begun::<W>(node, request, values, own, transaction).await {
        transaction.is_failed = true;
        return answer;
    }
    let answer = run_statement::<W>(node, request, values, transaction).await;
    if let StatementAnswer::Reply(reply) = &answer {
        transaction.is_failed = reply.state == TransactionState::Failed;
        transaction.has_written |= request.writes && reply.fault.is_none();
        if reply.state == TransactionState::Idle {
            // The target ended the transaction itself.
            transaction.is_failed = true;
            transaction.lease = None;
        }
    } else {
        transaction.is_failed = true;
        transaction.lease = None;
    }
    answer
}

/// Ends a transaction by its caller's `COMMIT`.
pub(super) async fn commit<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    own: OwnCommit,
    mut transaction: OpenTransaction,
) -> (StatementAnswer, OwnCommit) {
    if transaction.is_failed && transaction.lease.is_none() {
        return (StatementAnswer::Refused(SessionRefusal::Aborted), None);
    }
    if let Err(answer) = ensure_begun::<W>(node, request, values, own, &mut transaction).await {
        return (answer, None);
    }
    let group = node.group(&request.route.service);
    let sent_at = node.clock.now();
    if let Some(epoch) = transaction.epoch
        && !node.is_lease_valid(group.service(), epoch, sent_at)
    {
        return (StatementAnswer::Refused(SessionRefusal::Aborted), None);
    }
    let epoch = transaction.epoch;
    let Some(mut lease) = transaction.lease.take() else {
        return (StatementAnswer::Refused(SessionRefusal::Aborted), None);
    };
    let target = Rc::clone(lease.target());
    let work = LinkWork {
        request,
        values,
        step: LinkStep::Commit,
        epoch,
        guard: EpochGuard::Lease,
        floor: None,
        age: None,
    };
    let reply = match run_while_busy::<W>(node, &mut lease, work).await {
        Ok(reply) => reply,
        Err(fault) => {
            watch_failure::<W>(node, &target);
            let refusal = match fault {
                // Without its commit the target rolls the transaction back.
                WorkFault::NotRun(_) => SessionRefusal::Aborted,
                WorkFault::Lost(_) => transaction.lost_at_commit(),
            };
            return (StatementAnswer::Refused(refusal), None);
        }
    };
    let now = node.clock.now();
    lease.give_back(now);
    note_position(node, &group, &target, sent_at, &reply);
    let held = |epoch: GroupEpoch| node.is_lease_valid(group.service(), epoch, now);
    if reply.fault.is_none() && transaction.epoch.is_some_and(|epoch| !held(epoch)) {
        return (StatementAnswer::Refused(transaction.lost_at_commit()), None);
    }
    let kept = transaction.has_written && reply.fault.is_none();
    let commit = transaction.epoch.zip(reply.position).filter(|_| kept);
    (StatementAnswer::Reply(reply), commit)
}

/// Drops a transaction, giving its connection back if the target follows soon.
pub(super) async fn roll_back<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    mut transaction: OpenTransaction,
) {
    let Some(mut lease) = transaction.lease.take() else {
        return;
    };
    let work = LinkWork {
        request,
        values: &SessionValues::new(request.session),
        step: LinkStep::Rollback,
        epoch: None,
        guard: EpochGuard::Lease,
        floor: None,
        age: None,
    };
    if run_work::<W>(node, &mut lease, work).await.is_ok() {
        lease.give_back(node.clock.now());
    }
}

/// Begins a transaction at a target, unless it has begun.
async fn ensure_begun<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    own: OwnCommit,
    transaction: &mut OpenTransaction,
) -> Result<(), StatementAnswer> {
    if transaction.lease.is_none() {
        let (lease, epoch) = begin::<W>(node, request, values, own, transaction.read_only).await?;
        transaction.lease = Some(lease);
        transaction.epoch = epoch;
    }
    Ok(())
}

async fn begin<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    own: OwnCommit,
    read_only: bool,
) -> Result<(LinkLease, Option<GroupEpoch>), StatementAnswer> {
    let group = node.group(&request.route.service);
    let mut tried = Vec::new();
    let mut last = StatementAnswer::not_run(RefusalReason::NoTarget, BUSY_RETRY);
    let at_primary = !read_only || request.route.read_rule == ReadRule::Primary;
    for attempt in 0..MOST_BEGINS {
        let place = if at_primary {
            Some(place_at_primary::<W>(node, &group, request).await?)
        } else {
            place_read::<W>(node, &group, request, own, &tried).await?
        };
        let Some(place) = place else {
            break;
        };
        let target = place.lease.target().id();
        match try_begin::<W>(node, request, values, place, (read_only, at_primary)).await {
            Ok(begun) => return Ok(begun),
            Err(failure) if failure.is_final => return Err(failure.answer),
            Err(failure) => last = failure.answer,
        }
        metrics::counter!("resident_retries_total", "reason" => last.reason()).increment(1);
        event::REQUEST_RETRIED.log(format_args!(
            "request={} target={target} attempt={attempt} stage=begin answer={last:?}",
            String::from_utf8_lossy(&request.id)
        ));
        if at_primary {
            if request.wait_left(node.clock.now()).is_zero() {
                break;
            }
            pause().await;
        } else {
            tried.push(target);
        }
    }
    Err(last)
}

async fn try_begin<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    place: ReadPlace,
    (read_only, at_primary): (bool, bool),
) -> Result<(LinkLease, Option<GroupEpoch>), BeginFailure> {
    let ReadPlace {
        mut lease,
        floor,
        epoch,
        age,
    } = place;
    let group = node.group(&request.route.service);
    let target = Rc::clone(lease.target());
    let refused = |reason| BeginFailure::passing(StatementAnswer::not_run(reason, BUSY_RETRY));
    let sent_at = node.clock.now();
    let work = LinkWork {
        request,
        values,
        step: LinkStep::Begin { read_only },
        epoch,
        guard: EpochGuard::Lease,
        floor,
        age,
    };
    let result = run_work::<W>(node, &mut lease, work).await;
    let now = node.clock.now();
    let reply = match result {
        Ok(reply) => reply,
        Err(fault) => {
            watch_failure::<W>(node, &target);
            return Err(match fault {
                WorkFault::NotRun(LinkError::Full(after)) => BeginFailure {
                    answer: StatementAnswer::not_run(
                        RefusalReason::QueueFull,
                        after.max(BUSY_RETRY),
                    ),
                    is_final: at_primary,
                },
                _ => refused(RefusalReason::NoTarget),
            });
        }
    };
    match reply.fault {
        None if reply.state == TransactionState::Open => Ok((lease, epoch)),
        Some(TargetFault::Behind) => {
            target.note_behind(now);
            lease.give_back(now);
            Err(refused(RefusalReason::FloorNotReached))
        }
        Some(TargetFault::NotPrimary) => {
            note_position(node, &group, &target, sent_at, &reply);
            lease.give_back(now);
            Err(refused(RefusalReason::NoPrimary))
        }
        _ => Err(refused(RefusalReason::QueueFull)),
    }
}

async fn run_statement<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    transaction: &mut OpenTransaction,
) -> StatementAnswer {
    let aborted = StatementAnswer::Refused(SessionRefusal::Aborted);
    let epoch = transaction.epoch;
    let group = node.group(&request.route.service);
    let Some(lease) = transaction.lease.as_mut() else {
        return aborted;
    };
    let target = Rc::clone(lease.target());
    let now = node.clock.now();
    if let Some(epoch) = transaction.epoch
        && !node.is_lease_valid(group.service(), epoch, now)
    {
        return aborted;
    }
    let sent_at = node.clock.now();
    let work = LinkWork {
        request,
        values,
        step: LinkStep::Within,
        epoch,
        guard: EpochGuard::Lease,
        floor: None,
        age: None,
    };
    let reply = match run_while_busy::<W>(node, lease, work).await {
        Ok(reply) => reply,
        Err(fault) => {
            watch_failure::<W>(node, &target);
            return match fault {
                WorkFault::Lost(LinkError::Silent) => {
                    StatementAnswer::Refused(SessionRefusal::TimedOut)
                }
                _ => aborted,
            };
        }
    };
    let now = node.clock.now();
    note_position(node, &group, &target, sent_at, &reply);
    if let Some(epoch) = transaction.epoch
        && !node.is_lease_valid(group.service(), epoch, now)
    {
        return aborted;
    }
    StatementAnswer::Reply(reply)
}

/// Runs a statement of the transaction, again while the target is full and keeps the
/// transaction open.
async fn run_while_busy<W: SessionCodec>(
    node: &Rc<NodeState>,
    lease: &mut LinkLease,
    work: LinkWork<'_>,
) -> Result<TargetReply, WorkFault> {
    loop {
        let reply = run_work::<W>(node, lease, work).await?;
        let is_full =
            reply.fault == Some(TargetFault::Busy) && reply.state == TransactionState::Open;
        if !is_full || work.request.wait_left(node.clock.now()).is_zero() {
            return Ok(reply);
        }
        pause().await;
    }
}
