use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::placement::{PlacementCandidate, ReadPlacement};
use mustardhinge_core::prelude::{LogPosition, MonotonicTime, RefusalReason, TargetId};
use mustardhinge_core::primacy::GroupEpoch;
use mustardhinge_process::event;

use super::floor_ask::await_floor;
use super::primary_wait::await_primary;
use super::target_probe::start_probe;
use super::write_path::pause;
use super::{SessionRequest, SessionValues, StatementAnswer};
use crate::group::GroupState;
use crate::node::NodeState;
use crate::plan::ReadRule;
use crate::seam::{SessionRefusal, SessionWire, TargetFault};
use crate::target::{AnswerTime, LinkError, LinkLease, TargetHandle, TargetReply};

/// The allowed age is used up to this much, for the way of the statement and timers that
/// fire late.
const AGE_MARGIN: Duration = Duration::from_millis(150);
/// Times that one read is sent: twice to each of the usual three targets.
const MOST_TRIES: usize = 6;
/// When a caller should come back if no target holds what the read has to see.
const FLOOR_RETRY: Duration = Duration::from_millis(250);
/// When a caller should come back if all targets are full.
pub(super) const BUSY_RETRY: Duration = Duration::from_millis(150);
/// Most time that making a connection a session's may take.
const SETUP_LIMIT: Duration = Duration::from_millis(200);

/// The position of a session's last commit, with the epoch in which it was made.
pub(super) type OwnCommit = Option<(GroupEpoch, LogPosition)>;

/// A connection ready to run a read, and what the target has to hold.
#[derive(Debug)]
pub(super) struct ReadPlace {
    /// The connection.
    pub lease: LinkLease,
    /// What the target has to hold.
    pub floor: Option<LogPosition>,
    /// The epoch whose lease has to hold until the answer; none where the floor is enough.
    pub epoch: Option<GroupEpoch>,
}

/// Runs a single read, at other targets too if one fails.
pub(super) async fn run_read<W: SessionWire>(
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
            Err(answer) => {
                metrics::counter!("resident_retries_total", "reason" => answer.reason())
                    .increment(1);
                event::REQUEST_RETRIED.log(format_args!(
                    "request={} target={target} attempt={attempt} answer={answer:?}",
                    String::from_utf8_lossy(&request.id)
                ));
                was_full |= answer.is_full();
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
pub(super) async fn place_read<W: SessionWire>(
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
    }))
}

/// Borrows a connection to the best target that has a turn to give.
async fn borrow_for_read<W: SessionWire>(
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
        match target.borrow_link::<W>(&need, &node.clock).await {
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
pub(super) async fn place_at_primary<W: SessionWire>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
) -> Result<ReadPlace, StatementAnswer> {
    loop {
        let (epoch, target) = await_primary(node, group, request).await?;
        let need = request.link_need(node.clock.now());
        match target.borrow_link::<W>(&need, &node.clock).await {
            Ok(lease) => {
                let usable = node.usable_primary(group, node.clock.now());
                if usable.is_some_and(|(usable, _)| usable == epoch) {
                    // A server that lost its log under the same name is refused by itself.
                    let seen = group.newest_position().map(|(_, position)| position);
                    return Ok(ReadPlace {
                        lease,
                        floor: seen.filter(|_| epoch == group.epoch()),
                        epoch: Some(epoch),
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

/// Begins to probe a target that has been found failing, and tells the holder at once if it is
/// a primary, since its replacement waits for the word of most instances.
pub(super) fn watch_failure<W: SessionWire>(node: &Rc<NodeState>, target: &Rc<TargetHandle>) {
    if !target.health().is_failing() {
        return;
    }
    if start_probe::<W>(node, target) && node.is_primary(target) {
        node.tell_holder.notify_one();
    }
}

/// Returns how long it may take to make a connection a session's.
pub(super) fn setup_time(request: &SessionRequest, now: MonotonicTime) -> AnswerTime {
    let limit = request.time_left(now).min(SETUP_LIMIT);
    AnswerTime {
        silence: limit,
        limit,
        patience: None,
        kind: "setup",
    }
}

async fn try_read<W: SessionWire>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    request: &SessionRequest,
    values: &SessionValues,
    place: ReadPlace,
) -> Result<StatementAnswer, StatementAnswer> {
    let ReadPlace {
        mut lease,
        floor,
        epoch,
    } = place;
    let target = Rc::clone(lease.target());
    let refused = |reason| StatementAnswer::not_run(reason, BUSY_RETRY);
    let now = node.clock.now();
    if !set_up::<W>(node, request, values, &mut lease).await {
        watch_failure::<W>(node, &target);
        return Err(refused(RefusalReason::NoTarget));
    }
    if let Some(link) = lease.link_mut() {
        W::write_statement(&mut link.output, &request.id, floor, &request.text);
    }
    let sent_at = node.clock.now();
    request.note_sent(target.id(), epoch, sent_at);
    let mut time = request.answer_time(now);
    // A read that gets no answer is repeated elsewhere, while there is time for it.
    time.limit = time.limit.min(time.silence * 2);
    let ended = node.until_epoch_ends(group, epoch);
    let result = lease.exchange_until::<W>(1, time, &node.clock, ended).await;
    let now = node.clock.now();
    if matches!(result, Err(LinkError::EpochEnded)) {
        return Err(refused(RefusalReason::NoPrimary));
    }
    let Some(reply) = result.ok().and_then(|mut replies| replies.pop()) else {
        watch_failure::<W>(node, &target);
        return Err(StatementAnswer::Refused(SessionRefusal::TimedOut));
    };
    lease.give_back(now);
    note_position(node, group, &target, sent_at, &reply);
    match reply.fault {
        Some(TargetFault::Behind) => {
            target.note_behind(now);
            Err(StatementAnswer::not_run(
                RefusalReason::FloorNotReached,
                FLOOR_RETRY,
            ))
        }
        Some(fault) if fault.proves_not_run() => Err(refused(RefusalReason::QueueFull)),
        _ => match epoch {
            Some(epoch) if !node.is_lease_good(group.service(), epoch, now) => {
                Err(refused(RefusalReason::NoPrimary))
            }
            _ => Ok(StatementAnswer::Reply(reply)),
        },
    }
}

/// Makes a connection the session's, with its values and the prepared name it needs.
pub(super) async fn set_up<W: SessionWire>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    lease: &mut LinkLease,
) -> bool {
    let Some(link) = lease.link_mut() else {
        return false;
    };
    let count = values.write_to::<W>(link, request.name.as_ref());
    if count == 0 {
        return true;
    }
    let time = setup_time(request, node.clock.now());
    match lease.exchange::<W>(count, time, &node.clock).await {
        Ok(replies) => replies.iter().all(|reply| reply.fault.is_none()),
        Err(_) => false,
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
    let candidates: Vec<PlacementCandidate> = targets
        .iter()
        .map(|target| {
            let entry = target.entry();
            let health = target.health();
            PlacementCandidate {
                is_primary: primary.as_ref() == Some(&entry.target),
                is_near: entry.zone == node.settings.zone,
                is_leaving: target.is_leaving(),
                is_failing: health.is_failing(),
                is_behind: health.is_behind(now),
                is_lagging: !target.is_recent(age, now),
                in_flight: target.load(),
                slots: entry.slots,
                usual: target.usual(now),
                has_connection: target.has_idle(&need),
            }
        })
        .collect();
    let index = ReadPlacement::choose(&candidates, &skipped)?;
    targets.get(index).cloned()
}
