use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::placement::{PlacementCandidate, ReadPlacement, TargetAffinity};
use mustardhinge_core::prelude::{LogPosition, MonotonicTime, RefusalReason, TargetId};
use mustardhinge_core::primary_lease::GroupEpoch;
use mustardhinge_process::event;

use super::floor_ask::await_floor;
use super::primary_wait::await_primary;
use super::write_path::pause;
use super::{
    EpochGuard, LinkStep, LinkWork, SessionRequest, SessionValues, StatementAnswer, WorkFault,
    run_work, watch_failure,
};
use crate::adapter::{SessionCodec, SessionRefusal, TargetFault};
use crate::group::GroupState;
use crate::node::NodeState;
use crate::plan::ReadRule;
use crate::target::{LinkError, LinkLease, TargetHandle, TargetReply};

/// The allowed age is used up to this much, for the way of the statement and timers that
/// fire late.
const AGE_MARGIN: Duration = Duration::from_millis(150);
/// Times that one read is sent: twice to each of the usual three targets.
const MOST_TRIES: usize = 6;
/// When a caller should come back if no target holds what the read has to see.
const FLOOR_RETRY: Duration = Duration::from_millis(250);
/// When a caller should come back if all targets are full.
pub(super) const BUSY_RETRY: Duration = Duration::from_millis(150);

/// The position of a session's last commit, with the epoch in which it was made.
pub(super) type OwnCommit = Option<(GroupEpoch, LogPosition)>;

/// Why a read was not answered at one target.
#[derive(Debug)]
struct ReadFailure {
    answer: StatementAnswer,
    /// Whether the target may well answer a moment later.
    is_passing: bool,
}

impl ReadFailure {
    const fn passing(answer: StatementAnswer) -> Self {
        Self {
            answer,
            is_passing: true,
        }
    }

    const fn final_here(answer: StatementAnswer) -> Self {
        Self {
            answer,
            is_passing: false,
        }
    }
}

/// A connection ready to run a read, and what the target has to hold.
#[derive(Debug)]
pub(super) struct ReadPlace {
    /// The connection.
    pub lease: LinkLease,
    /// What the target has to hold.
    pub floor: Option<LogPosition>,
    /// The epoch whose lease has to hold until the answer; none where the floor is enough.
    pub epoch: Option<GroupEpoch>,
    /// How old the rows may be; none where only the position counts.
    pub age: Option<Duration>,
}

/// Runs a single read, at other targets too if one fails.
pub(super) async fn run_read<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    own: OwnCommit,
) -> StatementAnswer {
    let group = node.group(&request.route.service);
    let mut tried = Vec::new();
    let mut last = StatementAnswer::not_run(RefusalReason::NoTarget, BUSY_RETRY);
    let mut was_full = false;
    for attempt in 0..MOST_TRIES {
        let place = match place_read::<W>(node, &group, request, own, &tried).await {
            Ok(Some(place)) => place,
            Ok(None) if was_full && !request.wait_left(node.clock.now()).is_zero() => {
                tried.clear();
                was_full = false;
                pause().await;
                continue;
            }
            Ok(None) => break,
            Err(answer) => return if attempt == 0 { answer } else { last },
        };
        let target = place.lease.target().id();
        match try_read::<W>(node, &group, request, values, place).await {
            Ok(answer) => return answer,
            Err(ReadFailure { answer, is_passing }) => {
                metrics::counter!("resident_retries_total", "reason" => answer.reason())
                    .increment(1);
                event::REQUEST_RETRIED.log(format_args!(
                    "request={} target={target} attempt={attempt} answer={answer:?}",
                    String::from_utf8_lossy(&request.id)
                ));
                was_full |= is_passing && answer.is_full();
                last = answer;
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
pub(super) async fn place_read<W: SessionCodec>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
    own: OwnCommit,
    tried: &[TargetId],
) -> Result<Option<ReadPlace>, StatementAnswer> {
    let age = match request.route.read_rule {
        ReadRule::Primary => return place_at_primary::<W>(node, group, request).await.map(Some),
        ReadRule::Bounded(age) | ReadRule::Own(age) => age.saturating_sub(AGE_MARGIN),
    };
    let lease = borrow_for_read::<W>(node, group, request, (age, tried)).await?;
    let Some(lease) = lease else {
        return Ok(None);
    };
    let since = node.clock.now() - age;
    let Some(floor) = await_floor::<W>(node, group, since).await else {
        lease.give_back(node.clock.now());
        return Err(StatementAnswer::not_run(
            RefusalReason::FloorNotReached,
            FLOOR_RETRY,
        ));
    };
    let floor = match own {
        Some((epoch, commit)) if epoch == group.epoch() => floor.max(commit),
        _ => floor,
    };
    Ok(Some(ReadPlace {
        lease,
        floor: Some(floor),
        epoch: None,
        age: Some(age),
    }))
}

/// Borrows a connection to the best target that has a turn to give.
async fn borrow_for_read<W: SessionCodec>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
    (age, tried): (Duration, &[TargetId]),
) -> Result<Option<LinkLease>, StatementAnswer> {
    let mut tried = tried.to_vec();
    let mut full: Option<Duration> = None;
    while let Some(target) = choose(node, group, request, (age, &tried)) {
        let now = node.clock.now();
        target.note_placed(age, now);
        let need = request.link_need(now);
        match node.acquire_link::<W>(&target, &need).await {
            Ok(lease) => return Ok(Some(lease)),
            Err(LinkError::Full(after)) => {
                full = Some(full.map_or(after, |known| known.min(after)));
            }
            Err(LinkError::TurnedAway(TargetFault::TooManyConnections)) => {
                full = Some(full.unwrap_or(BUSY_RETRY));
            }
            Err(_) => watch_failure::<W>(node, &target),
        }
        tried.push(target.id());
    }
    match full {
        Some(after) => Err(StatementAnswer::not_run(
            RefusalReason::QueueFull,
            after.max(BUSY_RETRY),
        )),
        None => Ok(None),
    }
}

/// Finds the primary and a connection to it.
pub(super) async fn place_at_primary<W: SessionCodec>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
) -> Result<ReadPlace, StatementAnswer> {
    loop {
        let (epoch, target) = await_primary(node, group, request).await?;
        let need = request.link_need(node.clock.now());
        match node.acquire_link::<W>(&target, &need).await {
            Ok(lease) => {
                let usable = node.usable_primary(group, node.clock.now());
                if usable.is_some_and(|(usable, _)| usable == epoch) {
                    // A server that lost its log under the same name is refused by itself.
                    let seen = group.newest_position().map(|(_, position)| position);
                    return Ok(ReadPlace {
                        lease,
                        floor: seen.filter(|_| epoch == group.epoch()),
                        epoch: Some(epoch),
                        age: None,
                    });
                }
                lease.give_back(node.clock.now());
            }
            Err(LinkError::Full(after)) => {
                return Err(StatementAnswer::not_run(
                    RefusalReason::QueueFull,
                    after.max(BUSY_RETRY),
                ));
            }
            Err(LinkError::TurnedAway(TargetFault::TooManyConnections))
                if request.wait_left(node.clock.now()).is_zero() =>
            {
                return Err(StatementAnswer::not_run(
                    RefusalReason::QueueFull,
                    BUSY_RETRY,
                ));
            }
            Err(_) => watch_failure::<W>(node, &target),
        }
        if request.time_left(node.clock.now()).is_zero() {
            return Err(StatementAnswer::not_run(
                RefusalReason::NoPrimary,
                BUSY_RETRY,
            ));
        }
    }
}

async fn try_read<W: SessionCodec>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
    values: &SessionValues,
    place: ReadPlace,
) -> Result<StatementAnswer, ReadFailure> {
    let mut lease = place.lease;
    let target = Rc::clone(lease.target());
    let refused = |reason| ReadFailure::passing(StatementAnswer::not_run(reason, BUSY_RETRY));
    let sent_at = node.clock.now();
    let work = LinkWork {
        request,
        values,
        step: LinkStep::Single,
        epoch: place.epoch,
        guard: EpochGuard::Lease,
        floor: place.floor,
        age: place.age,
    };
    let result = run_work::<W>(node, &mut lease, work).await;
    let now = node.clock.now();
    let reply = match result {
        Ok(reply) => reply,
        Err(fault) => {
            watch_failure::<W>(node, &target);
            return Err(match fault {
                WorkFault::NotRun(LinkError::EpochEnded)
                | WorkFault::Lost(LinkError::EpochEnded) => refused(RefusalReason::NoPrimary),
                WorkFault::NotRun(LinkError::Full(after)) => ReadFailure::final_here(
                    StatementAnswer::not_run(RefusalReason::QueueFull, after.max(BUSY_RETRY)),
                ),
                WorkFault::NotRun(_) => refused(RefusalReason::NoTarget),
                WorkFault::Lost(_) => {
                    ReadFailure::passing(StatementAnswer::Refused(SessionRefusal::TimedOut))
                }
            });
        }
    };
    lease.give_back(now);
    note_position(node, group, &target, sent_at, &reply);
    match reply.fault {
        Some(TargetFault::Behind) => {
            target.note_behind(now);
            Err(ReadFailure::passing(StatementAnswer::not_run(
                RefusalReason::FloorNotReached,
                FLOOR_RETRY,
            )))
        }
        Some(fault) if fault.proves_not_run() => Err(refused(RefusalReason::QueueFull)),
        _ => match place.epoch {
            Some(epoch) if !node.is_lease_valid(group.service(), epoch, now) => {
                Err(refused(RefusalReason::NoPrimary))
            }
            _ => Ok(StatementAnswer::Reply(reply)),
        },
    }
}

/// Takes the position of an answer: from the primary under a lease, what reads have to see;
/// from others, how far they are behind.
pub(super) fn note_position(
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

fn choose(
    node: &Rc<NodeState>,
    group: &GroupState,
    request: &SessionRequest,
    (age, tried): (Duration, &[TargetId]),
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
                is_lagging: !target.is_recent(age, now),
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
