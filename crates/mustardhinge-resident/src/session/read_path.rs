use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::placement::{PlacementCandidate, ReadPlacement, TargetAffinity};
use mustardhinge_core::prelude::{LogPosition, MonotonicTime, RefusalReason, TargetId};
use mustardhinge_core::primary_lease::GroupEpoch;
use mustardhinge_process::event;

use super::primary_wait::await_primary;
use super::read_floor::await_floor;
use super::write_path::wait_before_retry;
use super::{
    EpochGuard, ExecutionError, SessionRequest, SessionValues, StatementExecution,
    StatementOutcome, TransactionStep, execute, probe_if_failing,
};
use crate::group::GroupState;
use crate::node::NodeState;
use crate::plan::ReadRule;
use crate::seam::{SessionRefusal, SessionWire, TargetFault};
use crate::target::{LinkError, LinkLease, TargetHandle, TargetReply};

/// The allowed age is used up to this much, for the way of the statement and timers that
/// fire late.
const STALENESS_MARGIN: Duration = Duration::from_millis(150);
/// Times that one read is sent: twice to each of the usual three targets.
const MAX_READ_ATTEMPTS: usize = 6;
/// When a caller should come back if no target holds what the read has to see.
const FLOOR_RETRY_AFTER: Duration = Duration::from_millis(250);
/// When a caller should come back if all targets are full.
pub(super) const BUSY_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The position of a session's last commit, with the epoch in which it was made.
pub(super) type LastCommit = Option<(GroupEpoch, LogPosition)>;

/// Why a read was not answered at one target.
#[derive(Debug)]
struct ReadFailure {
    outcome: StatementOutcome,
    /// Whether the target may well answer a moment later.
    is_transient: bool,
}

impl ReadFailure {
    const fn transient(outcome: StatementOutcome) -> Self {
        Self {
            outcome,
            is_transient: true,
        }
    }

    const fn permanent(outcome: StatementOutcome) -> Self {
        Self {
            outcome,
            is_transient: false,
        }
    }
}

/// A connection ready to run a read, and what the target has to hold.
#[derive(Debug)]
pub(super) struct Placement {
    /// The connection.
    pub lease: LinkLease,
    /// What the target has to hold.
    pub floor: Option<LogPosition>,
    /// The epoch whose lease has to hold until the answer; none where the floor is enough.
    pub epoch: Option<GroupEpoch>,
    /// How old the rows may be; none where only the position counts.
    pub max_staleness: Option<Duration>,
}

/// Runs a single read, at other targets too if one fails.
pub(super) async fn run_read<W: SessionWire>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    last_commit: LastCommit,
) -> StatementOutcome {
    let group = node.group(&request.route.service);
    let mut tried = Vec::new();
    let mut last = StatementOutcome::not_run(RefusalReason::NoTarget, BUSY_RETRY_AFTER);
    let mut was_full = false;
    for attempt in 0..MAX_READ_ATTEMPTS {
        let placement = match place_read::<W>(node, &group, request, last_commit, &tried).await {
            Ok(Some(placement)) => placement,
            Ok(None) if was_full && !request.wait_left(node.clock.now()).is_zero() => {
                tried.clear();
                was_full = false;
                wait_before_retry().await;
                continue;
            }
            Ok(None) => break,
            Err(outcome) => return if attempt == 0 { outcome } else { last },
        };
        let target = placement.lease.target().id();
        match try_read::<W>(node, &group, request, values, placement).await {
            Ok(outcome) => return outcome,
            Err(ReadFailure {
                outcome,
                is_transient,
            }) => {
                metrics::counter!("resident_retries_total", "reason" => outcome.reason())
                    .increment(1);
                event::REQUEST_RETRIED.log(format_args!(
                    "request={} target={target} attempt={attempt} answer={outcome:?}",
                    String::from_utf8_lossy(&request.id)
                ));
                was_full |= is_transient && outcome.is_full();
                last = outcome;
            }
        }
        tried.push(target);
        if request.time_left(node.clock.now()).is_zero() {
            return last;
        }
    }
    last
}

/// Finds a target for a read and a connection to it.
pub(super) async fn place_read<W: SessionWire>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
    last_commit: LastCommit,
    tried: &[TargetId],
) -> Result<Option<Placement>, StatementOutcome> {
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
    let Some(floor) = await_floor::<W>(node, group, since).await else {
        lease.give_back(node.clock.now());
        return Err(StatementOutcome::not_run(
            RefusalReason::FloorNotReached,
            FLOOR_RETRY_AFTER,
        ));
    };
    let floor = match last_commit {
        Some((epoch, commit)) if epoch == group.epoch() => floor.max(commit),
        _ => floor,
    };
    Ok(Some(Placement {
        lease,
        floor: Some(floor),
        epoch: None,
        max_staleness: Some(max_staleness),
    }))
}

/// Borrows a connection to the best target that has a turn to give.
async fn acquire_for_read<W: SessionWire>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
    (max_staleness, tried): (Duration, &[TargetId]),
) -> Result<Option<LinkLease>, StatementOutcome> {
    let mut tried = tried.to_vec();
    let mut full: Option<Duration> = None;
    while let Some(target) = choose_target(node, group, request, (max_staleness, &tried)) {
        let now = node.clock.now();
        target.note_placed(max_staleness, now);
        let need = request.link_need(now);
        match node.borrow_link::<W>(&target, &need).await {
            Ok(lease) => return Ok(Some(lease)),
            Err(LinkError::Full(after)) => {
                full = Some(full.map_or(after, |known| known.min(after)));
            }
            Err(LinkError::TurnedAway(TargetFault::TooManyConnections)) => {
                full = Some(full.unwrap_or(BUSY_RETRY_AFTER));
            }
            Err(_) => probe_if_failing::<W>(node, &target),
        }
        tried.push(target.id());
    }
    match full {
        Some(after) => Err(StatementOutcome::not_run(
            RefusalReason::QueueFull,
            after.max(BUSY_RETRY_AFTER),
        )),
        None => Ok(None),
    }
}

/// Finds the primary and a connection to it.
pub(super) async fn place_at_primary<W: SessionWire>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
) -> Result<Placement, StatementOutcome> {
    loop {
        let (epoch, target) = await_primary(node, group, request).await?;
        let need = request.link_need(node.clock.now());
        match node.borrow_link::<W>(&target, &need).await {
            Ok(lease) => {
                let usable = node.usable_primary(group, node.clock.now());
                if usable.is_some_and(|(usable, _)| usable == epoch) {
                    // A server that lost its log under the same name is refused by itself.
                    let seen = group.newest_position().map(|(_, position)| position);
                    return Ok(Placement {
                        lease,
                        floor: seen.filter(|_| epoch == group.epoch()),
                        epoch: Some(epoch),
                        max_staleness: None,
                    });
                }
                lease.give_back(node.clock.now());
            }
            Err(LinkError::Full(after)) => {
                return Err(StatementOutcome::not_run(
                    RefusalReason::QueueFull,
                    after.max(BUSY_RETRY_AFTER),
                ));
            }
            Err(LinkError::TurnedAway(TargetFault::TooManyConnections))
                if request.wait_left(node.clock.now()).is_zero() =>
            {
                return Err(StatementOutcome::not_run(
                    RefusalReason::QueueFull,
                    BUSY_RETRY_AFTER,
                ));
            }
            Err(_) => probe_if_failing::<W>(node, &target),
        }
        if request.time_left(node.clock.now()).is_zero() {
            return Err(StatementOutcome::not_run(
                RefusalReason::NoPrimary,
                BUSY_RETRY_AFTER,
            ));
        }
    }
}

async fn try_read<W: SessionWire>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
    values: &SessionValues,
    placement: Placement,
) -> Result<StatementOutcome, ReadFailure> {
    let mut lease = placement.lease;
    let target = Rc::clone(lease.target());
    let not_run =
        |reason| ReadFailure::transient(StatementOutcome::not_run(reason, BUSY_RETRY_AFTER));
    let sent_at = node.clock.now();
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
    let reply = match result {
        Ok(reply) => reply,
        Err(fault) => {
            probe_if_failing::<W>(node, &target);
            return Err(match fault {
                ExecutionError::NotRun(LinkError::EpochEnded)
                | ExecutionError::Lost(LinkError::EpochEnded) => not_run(RefusalReason::NoPrimary),
                ExecutionError::NotRun(LinkError::Full(after)) => {
                    ReadFailure::permanent(StatementOutcome::not_run(
                        RefusalReason::QueueFull,
                        after.max(BUSY_RETRY_AFTER),
                    ))
                }
                ExecutionError::NotRun(_) => not_run(RefusalReason::NoTarget),
                ExecutionError::Lost(_) => {
                    ReadFailure::transient(StatementOutcome::Refused(SessionRefusal::TimedOut))
                }
            });
        }
    };
    lease.give_back(now);
    record_position(node, group, &target, sent_at, &reply);
    match reply.fault {
        Some(TargetFault::Behind) => {
            target.note_behind(now);
            Err(ReadFailure::transient(StatementOutcome::not_run(
                RefusalReason::FloorNotReached,
                FLOOR_RETRY_AFTER,
            )))
        }
        Some(fault) if fault.proves_not_run() => Err(not_run(RefusalReason::QueueFull)),
        _ => match placement.epoch {
            Some(epoch) if !node.is_lease_good(group.service(), epoch, now) => {
                Err(not_run(RefusalReason::NoPrimary))
            }
            _ => Ok(StatementOutcome::Reply(reply)),
        },
    }
}

/// Takes the position of an answer: from the primary under a lease, what reads have to see;
/// from others, how far they are behind.
pub(super) fn record_position(
    node: &NodeState,
    group: &GroupState,
    target: &TargetHandle,
    sent_at: MonotonicTime,
    reply: &TargetReply,
) {
    let now = node.clock.now();
    let Some(position) = reply.position else {
        return;
    };
    match node.usable_primary(group, now) {
        Some((epoch, primary)) if primary.id() == target.id() => {
            group.observe(epoch, sent_at, position);
        }
        _ => {
            if let Some(covered) = group.covered_until(position, now) {
                target.note_lag(covered, now);
            }
        }
    }
}

fn choose_target(
    node: &Rc<NodeState>,
    group: &GroupState,
    request: &SessionRequest,
    (max_staleness, tried): (Duration, &[TargetId]),
) -> Option<Rc<TargetHandle>> {
    let now = node.clock.now();
    let need = request.link_need(now);
    let primary = node
        .usable_primary(group, now)
        .map(|(_, target)| target.id());
    let targets: Vec<_> = group.targets();
    let skipped: Vec<usize> = (0..targets.len())
        .filter(|index| tried.contains(&targets[*index].id()))
        .collect();
    let ids: Vec<_> = targets.iter().map(|target| target.id()).collect();
    let preferred = TargetAffinity::prefer(&request.customer, &ids);
    let candidates: Vec<PlacementCandidate> = targets
        .iter()
        .enumerate()
        .map(|(index, target)| {
            let entry = target.entry();
            let health = target.health();
            PlacementCandidate {
                is_primary: primary.as_ref() == Some(&entry.target),
                is_near: entry.zone == node.settings.zone,
                is_leaving: target.is_leaving(),
                is_failing: health.is_failing(),
                is_behind: health.is_behind(now),
                is_lagging: !target.is_recent(max_staleness, now),
                in_flight: target.placed_load(now),
                slots: entry.slots,
                usual: target.usual(now),
                // What a gateway has open isn't known here.
                has_connection: match target.gateways() {
                    Some(_) => preferred == Some(index),
                    None => target.has_idle(&need),
                },
            }
        })
        .collect();
    let index = ReadPlacement::choose(&candidates, &skipped)?;
    targets.get(index).cloned()
}
