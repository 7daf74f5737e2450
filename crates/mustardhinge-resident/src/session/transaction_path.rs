use std::rc::Rc;

use mustardhinge_core::prelude::RefusalReason;
use mustardhinge_core::primary_lease::GroupEpoch;
use mustardhinge_core::session::{CommitTable, SessionCommit};
use mustardhinge_process::event;

use super::position_context::PositionContext;
use super::primary_wait::refuse_without_target;
use super::read_path::{BUSY_RETRY_AFTER, Placement, place_at_primary, place_read};
use super::retry_gate::{admit_retry, record_operation};
use super::write_path::wait_before_retry;
use super::{
    EpochGuard, ExecutionError, OpenTransaction, SessionRequest, SessionValues, StatementExecution,
    StatementResponse, TransactionStep, execute, probe_if_failing,
};
use crate::adapter::{SessionCodec, SessionRefusal, TargetFault, TransactionState};
use crate::node::NodeState;
use crate::plan::ReadRule;
use crate::target::{ConnectionError, TargetLease, TargetReply};

/// Maximum number of attempts to begin one transaction.
const MAX_BEGIN_ATTEMPTS: usize = 6;

/// Result of a transaction that failed to begin at one target.
struct BeginFailure {
    response: StatementResponse,
    /// Whether no further attempt is made.
    is_final: bool,
}

impl BeginFailure {
    const fn transient(response: StatementResponse) -> Self {
        Self {
            response,
            is_final: false,
        }
    }
}

/// Runs a statement of an open transaction.
///
/// The first statement begins the transaction at a target.
pub(super) async fn run_in_transaction<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    commits: &CommitTable,
    transaction: &mut OpenTransaction,
) -> StatementResponse {
    if let Err(response) = ensure_begun::<W>(node, request, values, commits, transaction).await {
        transaction.is_failed = true;
        return response;
    }
    let response = run_statement::<W>(node, request, values, transaction).await;
    if let StatementResponse::Reply(reply) = &response {
        transaction.is_failed = reply.state == TransactionState::Failed;
        transaction.has_written |= request.writes && reply.fault.is_none();
        if reply.state == TransactionState::Idle {
            // The target has ended the transaction.
            transaction.is_failed = true;
            transaction.lease = None;
        }
    } else {
        transaction.is_failed = true;
        transaction.lease = None;
    }
    response
}

/// Commits a transaction.
///
/// Returns the response, and the position of the commit if the transaction wrote at a primary.
pub(super) async fn commit<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    commits: &CommitTable,
    mut transaction: OpenTransaction,
) -> (StatementResponse, Option<SessionCommit>) {
    if transaction.is_failed && transaction.lease.is_none() {
        return (StatementResponse::Refused(SessionRefusal::Aborted), None);
    }
    if let Err(response) = ensure_begun::<W>(node, request, values, commits, &mut transaction).await
    {
        return (response, None);
    }
    let group = node.group(&request.route.service);
    let sent_at = node.clock.now();
    if let Some(epoch) = transaction.epoch
        && !node.is_lease_valid(group.service(), epoch, sent_at)
    {
        return (StatementResponse::Refused(SessionRefusal::Aborted), None);
    }
    let epoch = transaction.epoch;
    let Some(mut lease) = transaction.lease.take() else {
        return (StatementResponse::Refused(SessionRefusal::Aborted), None);
    };
    let target = Rc::clone(lease.target());
    let context = PositionContext::new(node, &group, &target, sent_at);
    let execution = StatementExecution {
        request,
        values,
        step: TransactionStep::Commit,
        epoch,
        guard: EpochGuard::Lease,
        floor: None,
        max_staleness: None,
    };
    let reply = match execute_until_not_busy::<W>(node, &mut lease, execution).await {
        Ok(reply) => reply,
        Err(error) => {
            probe_if_failing::<W>(node, &target);
            let refusal = match error {
                // The target rolls back a transaction whose commit does not arrive.
                ExecutionError::NotRun(_) => SessionRefusal::Aborted,
                ExecutionError::Lost(_) => transaction.lost_refusal(),
            };
            return (StatementResponse::Refused(refusal), None);
        }
    };
    let now = node.clock.now();
    lease.release(now);
    context.record(node, &group, &target, &reply);
    let is_valid = |epoch: GroupEpoch| node.is_lease_valid(group.service(), epoch, now);
    if reply.fault.is_none() && transaction.epoch.is_some_and(|epoch| !is_valid(epoch)) {
        return (StatementResponse::Refused(transaction.lost_refusal()), None);
    }
    let wrote = transaction.has_written && reply.fault.is_none();
    let committed = transaction.epoch.zip(reply.position).filter(|_| wrote);
    let commit = committed.map(|(epoch, position)| group.session_commit(epoch, position, now));
    (StatementResponse::Reply(reply), commit)
}

/// Rolls a transaction back.
///
/// The connection is reused if the target confirms the rollback in time, and closed otherwise.
pub(super) async fn roll_back<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    mut transaction: OpenTransaction,
) {
    let Some(mut lease) = transaction.lease.take() else {
        return;
    };
    let execution = StatementExecution {
        request,
        values: &SessionValues::new(request.session),
        step: TransactionStep::Rollback,
        epoch: None,
        guard: EpochGuard::Lease,
        floor: None,
        max_staleness: None,
    };
    if execute::<W>(node, &mut lease, execution).await.is_ok() {
        lease.release(node.clock.now());
    }
}

/// Begins the transaction at a target if it has not begun yet.
async fn ensure_begun<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    commits: &CommitTable,
    transaction: &mut OpenTransaction,
) -> Result<(), StatementResponse> {
    if transaction.lease.is_none() {
        let (lease, epoch) =
            begin::<W>(node, request, values, commits, transaction.read_only).await?;
        transaction.lease = Some(lease);
        transaction.epoch = epoch;
    }
    Ok(())
}

async fn begin<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    commits: &CommitTable,
    read_only: bool,
) -> Result<(TargetLease, Option<GroupEpoch>), StatementResponse> {
    request.begins.set(true);
    record_operation(node, request);
    let group = node.group(&request.route.service);
    let mut tried = Vec::new();
    let mut last = refuse_without_target(node, &group, request, node.clock.now());
    let mut failed = None;
    let at_primary = !read_only || request.route.read_rule == ReadRule::Primary;
    for attempt in 0..MAX_BEGIN_ATTEMPTS {
        let placement = if at_primary {
            Some(place_at_primary::<W>(node, &group, request).await?)
        } else {
            place_read::<W>(node, &group, request, commits, &tried).await?
        };
        let Some(placement) = placement else {
            break;
        };
        if let Some((target, attempt)) = &failed {
            if !admit_retry(node, request) {
                placement.lease.release(node.clock.now());
                return Err(last);
            }
            metrics::counter!("resident_retries_total", "reason" => last.reason()).increment(1);
            event::REQUEST_RETRIED.log(format_args!(
                "request={} target={target} attempt={attempt} stage=begin answer={last:?}",
                String::from_utf8_lossy(&request.id)
            ));
        }
        let target = placement.lease.target().id();
        match try_begin::<W>(node, request, values, placement, (read_only, at_primary)).await {
            Ok(begun) => return Ok(begun),
            Err(failure) if failure.is_final => return Err(failure.response),
            Err(failure) => last = failure.response,
        }
        failed = Some((target.clone(), attempt));
        if at_primary {
            if request.wait_left(node.clock.now()).is_zero() {
                break;
            }
            wait_before_retry().await;
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
    placement: Placement,
    (read_only, at_primary): (bool, bool),
) -> Result<(TargetLease, Option<GroupEpoch>), BeginFailure> {
    let Placement {
        mut lease,
        floor,
        epoch,
        max_staleness,
    } = placement;
    let group = node.group(&request.route.service);
    let target = Rc::clone(lease.target());
    let not_run =
        |reason| BeginFailure::transient(StatementResponse::not_run(reason, BUSY_RETRY_AFTER));
    let context = PositionContext::new(node, &group, &target, node.clock.now());
    let execution = StatementExecution {
        request,
        values,
        step: TransactionStep::Begin { read_only },
        epoch,
        guard: EpochGuard::Lease,
        floor,
        max_staleness,
    };
    let result = execute::<W>(node, &mut lease, execution).await;
    let now = node.clock.now();
    let reply = match result {
        Ok(reply) => reply,
        Err(error) => {
            probe_if_failing::<W>(node, &target);
            return Err(match error {
                ExecutionError::NotRun(ConnectionError::Full(after)) => BeginFailure {
                    response: StatementResponse::not_run(
                        RefusalReason::QueueFull,
                        after.max(BUSY_RETRY_AFTER),
                    ),
                    is_final: at_primary,
                },
                ExecutionError::NotRun(ConnectionError::OutsideHome) => {
                    BeginFailure::transient(StatementResponse::outside_home())
                }
                _ => not_run(RefusalReason::NoTarget),
            });
        }
    };
    match reply.fault {
        None if reply.state == TransactionState::Open => Ok((lease, epoch)),
        Some(TargetFault::Behind) => {
            target.record_missing_position(now);
            lease.release(now);
            Err(not_run(RefusalReason::FloorNotReached))
        }
        Some(TargetFault::NotPrimary) => {
            context.record(node, &group, &target, &reply);
            lease.release(now);
            Err(not_run(RefusalReason::NoPrimary))
        }
        _ => Err(not_run(RefusalReason::QueueFull)),
    }
}

async fn run_statement<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    transaction: &mut OpenTransaction,
) -> StatementResponse {
    let aborted = StatementResponse::Refused(SessionRefusal::Aborted);
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
    let context = PositionContext::new(node, &group, &target, now);
    let execution = StatementExecution {
        request,
        values,
        step: TransactionStep::Within,
        epoch,
        guard: EpochGuard::Lease,
        floor: None,
        max_staleness: None,
    };
    let reply = match execute_until_not_busy::<W>(node, lease, execution).await {
        Ok(reply) => reply,
        Err(error) => {
            probe_if_failing::<W>(node, &target);
            return match error {
                ExecutionError::Lost(ConnectionError::Silent) => {
                    StatementResponse::Refused(SessionRefusal::TimedOut)
                }
                _ => aborted,
            };
        }
    };
    let now = node.clock.now();
    context.record(node, &group, &target, &reply);
    if let Some(epoch) = transaction.epoch
        && !node.is_lease_valid(group.service(), epoch, now)
    {
        return aborted;
    }
    StatementResponse::Reply(reply)
}

/// Runs a statement of an open transaction, and retries it while the target reports that it is
/// busy and keeps the transaction open.
async fn execute_until_not_busy<W: SessionCodec>(
    node: &Rc<NodeState>,
    lease: &mut TargetLease,
    execution: StatementExecution<'_>,
) -> Result<TargetReply, ExecutionError> {
    loop {
        let reply = execute::<W>(node, lease, execution).await?;
        let is_full =
            reply.fault == Some(TargetFault::Busy) && reply.state == TransactionState::Open;
        if !is_full || execution.request.wait_left(node.clock.now()).is_zero() {
            return Ok(reply);
        }
        wait_before_retry().await;
    }
}
