use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::placement::ReadPlacement;
use mustardhinge_core::prelude::{LogPosition, MonotonicTime, RefusalReason, TargetId};
use mustardhinge_core::primary_lease::GroupEpoch;
use mustardhinge_core::session::CommitTable;
use mustardhinge_process::event;

use super::position_context::PositionContext;
use super::primary_wait::{await_primary, refuse_without_target};
use super::read_candidates::{choose_by_capacity, indices_of, plain_candidates, usable_targets};
use super::read_floor::await_floor;
use super::retry_gate::{admit_retry, record_operation};
use super::write_path::wait_before_retry;
use super::{
    EpochGuard, ExecutionError, SessionRequest, SessionValues, StatementExecution,
    StatementResponse, TransactionStep, execute, probe_if_failing,
};
use crate::adapter::{SessionCodec, SessionRefusal, TargetFault};
use crate::group::GroupState;
use crate::node::NodeState;
use crate::plan::ReadRule;
use crate::target::{ConnectionError, TargetHandle, TargetLease, TargetReply};

/// Part of the allowed staleness that is reserved for the transmission of the statement and
/// for timers that fire late.
pub(crate) const STALENESS_MARGIN: Duration = Duration::from_millis(150);
/// Maximum number of attempts for one read: two at each target of a typical group of three.
const MAX_READ_ATTEMPTS: usize = 6;
/// Retry delay that is suggested to the caller if no target has applied the position that the
/// read requires.
pub(crate) const FLOOR_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Retry delay that is suggested to the caller if all targets are full or unusable.
pub(crate) const BUSY_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Result of a read that failed at one target.
#[derive(Debug)]
struct ReadFailure {
    response: StatementResponse,
    /// Whether a retry at the same target may succeed.
    is_transient: bool,
}

impl ReadFailure {
    const fn transient(response: StatementResponse) -> Self {
        Self {
            response,
            is_transient: true,
        }
    }

    const fn permanent(response: StatementResponse) -> Self {
        Self {
            response,
            is_transient: false,
        }
    }
}

/// A leased connection, with the freshness that a statement requires of its target.
#[derive(Debug)]
pub(super) struct Placement {
    /// Connection to the target.
    pub lease: TargetLease,
    /// Log position that the target must have applied.
    pub floor: Option<LogPosition>,
    /// Epoch whose primary lease must be valid until the response arrives; `None` if the floor
    /// is sufficient.
    pub epoch: Option<GroupEpoch>,
    /// Maximum staleness of the rows; `None` if only the position matters.
    pub max_staleness: Option<Duration>,
}

/// Runs a read outside a transaction, and retries it at other targets if one fails.
pub(super) async fn run_read<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    commits: &CommitTable,
) -> StatementResponse {
    record_operation(node, request);
    let group = node.group(&request.route.service);
    let mut tried = Vec::new();
    let mut last = refuse_without_target(node, &group, request, node.clock.now());
    let mut failed = None;
    let mut was_full = false;
    for attempt in 0..MAX_READ_ATTEMPTS {
        let placement = match place_read::<W>(node, &group, request, commits, &tried).await {
            Ok(Some(placement)) => placement,
            Ok(None) if was_full && !request.wait_left(node.clock.now()).is_zero() => {
                tried.clear();
                was_full = false;
                wait_before_retry().await;
                continue;
            }
            Ok(None) => break,
            Err(response) => return if attempt == 0 { response } else { last },
        };
        if let Some((target, attempt)) = &failed {
            if !admit_retry(node, request) {
                placement.lease.release(node.clock.now());
                return last;
            }
            metrics::counter!("resident_retries_total", "reason" => last.reason()).increment(1);
            event::REQUEST_RETRIED.log(format_args!(
                "request={} target={target} attempt={attempt} answer={last:?}",
                String::from_utf8_lossy(&request.id)
            ));
        }
        let target = placement.lease.target().id();
        match try_read::<W>(node, &group, request, values, placement).await {
            Ok(response) => return response,
            Err(ReadFailure {
                response,
                is_transient,
            }) => {
                was_full |= is_transient && response.is_full();
                last = response;
            }
        }
        failed = Some((target.clone(), attempt));
        tried.push(target);
        if request.time_left(node.clock.now()).is_zero() {
            return last;
        }
    }
    last
}

/// Selects a target for a read and leases a connection to it.
///
/// Returns `None` if no target outside `tried` can be used.
///
/// # Errors
///
/// Returns the refusal for the caller if the remaining targets are full, if the read floor is
/// not known in time, or if a read at the primary can't be placed.
pub(super) async fn place_read<W: SessionCodec>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
    commits: &CommitTable,
    tried: &[TargetId],
) -> Result<Option<Placement>, StatementResponse> {
    let max_staleness = match request.route.read_rule {
        ReadRule::Primary => return place_at_primary::<W>(node, group, request).await.map(Some),
        ReadRule::Bounded(max_staleness) | ReadRule::Own(max_staleness) => {
            max_staleness.saturating_sub(STALENESS_MARGIN)
        }
    };
    let lease = acquire_for_read::<W>(node, group, request, (max_staleness, tried)).await?;
    let Some(lease) = lease else {
        return Ok(None);
    };
    let since = node.clock.now() - max_staleness;
    let since = commits
        .requirement(group.service(), group.epoch(), since)
        .since;
    let Some(floor) = await_floor::<W>(node, group, since).await else {
        lease.release(node.clock.now());
        return Err(StatementResponse::not_run(
            RefusalReason::FloorNotReached,
            FLOOR_RETRY_AFTER,
        ));
    };
    // The epoch may have changed meanwhile.
    let required = commits.requirement(group.service(), group.epoch(), since);
    Ok(Some(Placement {
        lease,
        floor: required.position.max(Some(floor)),
        epoch: None,
        max_staleness: Some(max_staleness),
    }))
}

/// Leases a connection to the best target with a free slot.
///
/// Returns `None` if no target can be used and none is full.
///
/// # Errors
///
/// Returns the refusal for the caller if no target can be used and at least one is full.
async fn acquire_for_read<W: SessionCodec>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
    (max_staleness, tried): (Duration, &[TargetId]),
) -> Result<Option<TargetLease>, StatementResponse> {
    let mut tried = tried.to_vec();
    let mut retry_after: Option<Duration> = None;
    while let Some(target) = choose_target(node, group, request, (max_staleness, &tried)) {
        let now = node.clock.now();
        target.record_read_placed(max_staleness, now);
        let connection_request = request.connection_request(now);
        match node.acquire_link::<W>(&target, &connection_request).await {
            Ok(lease) => return Ok(Some(lease)),
            Err(ConnectionError::Full(after)) => {
                retry_after = Some(retry_after.map_or(after, |known| known.min(after)));
            }
            Err(ConnectionError::TurnedAway(TargetFault::TooManyConnections)) => {
                retry_after = Some(retry_after.unwrap_or(BUSY_RETRY_AFTER));
            }
            Err(_) => probe_if_failing::<W>(node, &target),
        }
        tried.push(target.id());
    }
    match retry_after {
        Some(after) => Err(StatementResponse::not_run(
            RefusalReason::QueueFull,
            after.max(BUSY_RETRY_AFTER),
        )),
        None => Ok(None),
    }
}

/// Waits for the primary and leases a connection to it.
///
/// # Errors
///
/// Returns the refusal for the caller if the primary is full or can't be used in time.
pub(super) async fn place_at_primary<W: SessionCodec>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
) -> Result<Placement, StatementResponse> {
    loop {
        let (epoch, target) = await_primary(node, group, request).await?;
        let connection_request = request.connection_request(node.clock.now());
        match node.acquire_link::<W>(&target, &connection_request).await {
            Ok(lease) => {
                let usable = node.usable_primary(group, node.clock.now());
                if usable.is_some_and(|(usable, _)| usable == epoch) {
                    // The floor makes a server that lost its log but kept its name refuse the
                    // statement.
                    let newest = group.newest_position().map(|(_, position)| position);
                    return Ok(Placement {
                        lease,
                        floor: newest.filter(|_| epoch == group.epoch()),
                        epoch: Some(epoch),
                        max_staleness: None,
                    });
                }
                lease.release(node.clock.now());
            }
            Err(ConnectionError::Full(after)) => {
                return Err(StatementResponse::not_run(
                    RefusalReason::QueueFull,
                    after.max(BUSY_RETRY_AFTER),
                ));
            }
            Err(ConnectionError::TurnedAway(TargetFault::TooManyConnections))
                if request.wait_left(node.clock.now()).is_zero() =>
            {
                return Err(StatementResponse::not_run(
                    RefusalReason::QueueFull,
                    BUSY_RETRY_AFTER,
                ));
            }
            Err(_) => probe_if_failing::<W>(node, &target),
        }
        if request.time_left(node.clock.now()).is_zero() {
            return Err(StatementResponse::not_run(
                RefusalReason::NoPrimary,
                BUSY_RETRY_AFTER,
            ));
        }
    }
}

async fn try_read<W: SessionCodec>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
    values: &SessionValues,
    placement: Placement,
) -> Result<StatementResponse, ReadFailure> {
    let mut lease = placement.lease;
    let target = Rc::clone(lease.target());
    let not_run =
        |reason| ReadFailure::transient(StatementResponse::not_run(reason, BUSY_RETRY_AFTER));
    let context = PositionContext::new(node, group, &target, node.clock.now());
    let born_ms = target.entry().born_ms;
    let execution = StatementExecution {
        request,
        values,
        step: TransactionStep::Single,
        epoch: placement.epoch,
        guard: EpochGuard::Lease,
        floor: placement.floor,
        max_staleness: placement.max_staleness,
    };
    let result = execute::<W>(node, &mut lease, execution).await;
    let now = node.clock.now();
    // A restart of the target in the meantime has cleared the evidence.
    if target.entry().born_ms == born_ms {
        record_outcome(node, (&target, request), &result, now);
    }
    let reply = match result {
        Ok(reply) => reply,
        Err(error) => {
            probe_if_failing::<W>(node, &target);
            return Err(read_failure(&error));
        }
    };
    lease.release(now);
    context.record(node, group, &target, &reply);
    match reply.fault {
        Some(TargetFault::Behind) => {
            target.record_missing_position(now);
            Err(ReadFailure::transient(StatementResponse::not_run(
                RefusalReason::FloorNotReached,
                FLOOR_RETRY_AFTER,
            )))
        }
        Some(fault) if fault.proves_not_run() => Err(not_run(RefusalReason::QueueFull)),
        _ => match placement.epoch {
            Some(epoch) if !node.is_lease_valid(group.service(), epoch, now) => {
                Err(not_run(RefusalReason::NoPrimary))
            }
            _ => Ok(StatementResponse::Reply(reply)),
        },
    }
}

/// Records whether the target served a read, if the result shows it.
fn record_outcome(
    node: &NodeState,
    (target, request): (&TargetHandle, &SessionRequest),
    result: &Result<TargetReply, ExecutionError>,
    now: MonotonicTime,
) {
    let is_served = match result {
        Ok(reply) => match reply.fault {
            Some(fault) if fault.proves_not_run() => return,
            fault => fault.is_none(),
        },
        Err(ExecutionError::Lost(cause)) if cause.is_failure() => false,
        Err(_) => return,
    };
    node.record_read_outcome(target, &request.customer, is_served, now);
}

/// Returns the failure of a read that got no response from its target.
fn read_failure(error: &ExecutionError) -> ReadFailure {
    let not_run =
        |reason| ReadFailure::transient(StatementResponse::not_run(reason, BUSY_RETRY_AFTER));
    match error {
        ExecutionError::NotRun(ConnectionError::EpochEnded)
        | ExecutionError::Lost(ConnectionError::EpochEnded) => not_run(RefusalReason::NoPrimary),
        ExecutionError::NotRun(ConnectionError::Full(after)) => {
            let after = (*after).max(BUSY_RETRY_AFTER);
            let response = StatementResponse::not_run(RefusalReason::QueueFull, after);
            ReadFailure::permanent(response)
        }
        ExecutionError::NotRun(ConnectionError::OutsideHome) => {
            ReadFailure::permanent(StatementResponse::outside_home())
        }
        ExecutionError::NotRun(_) => not_run(RefusalReason::NoTarget),
        ExecutionError::Lost(_) => {
            ReadFailure::transient(StatementResponse::Refused(SessionRefusal::TimedOut))
        }
    }
}

fn choose_target(
    node: &Rc<NodeState>,
    group: &GroupState,
    request: &SessionRequest,
    (max_staleness, tried): (Duration, &[TargetId]),
) -> Option<Rc<TargetHandle>> {
    if node.overload_control().is_on() {
        return choose_by_capacity(node, group, request, (max_staleness, tried));
    }
    let now = node.clock.now();
    let targets = usable_targets(node, group, request, now);
    let skipped = indices_of(tried, &targets);
    let candidates = plain_candidates(node, (group, &targets), request, (max_staleness, now));
    let index = ReadPlacement::choose(&candidates, &skipped)?;
    targets.get(index).cloned()
}
