use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;
use mustardhinge_process::event;
use rand::RngExt;
use tokio::time::sleep;

use super::read_path::{
    OwnCommit, ReadPlace, note_position, place_at_primary, set_up, setup_time, watch_failure,
};
use super::{SessionRequest, SessionValues, StatementAnswer};
use crate::node::NodeState;
use crate::seam::{OwnStatement, SessionRefusal, SessionWire, TargetFault};
use crate::target::LinkLease;

/// A connection that lay idle for longer is proved before a write depends on it.
const PROVE_AFTER: Duration = Duration::from_millis(700);
/// Pause before a full primary is asked again, in milliseconds: a usual service time.
const FULL_PAUSE_MS: std::ops::Range<u64> = 5..25;
/// When a caller should come back if the primary is full.
const BUSY_RETRY: Duration = Duration::from_millis(150);

enum WriteEnd {
    Answer(StatementAnswer, OwnCommit),
    Again(StatementAnswer),
}

/// Runs a single write at the primary; once it was sent, it is not sent again unless the
/// primary says that it has not run.
pub(super) async fn run_write<W: SessionWire>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
) -> (StatementAnswer, OwnCommit) {
    let group = node.group(&request.route.service);
    loop {
        let place = match place_at_primary::<W>(node, &group, request).await {
            Ok(place) => place,
            Err(answer) => return (answer, None),
        };
        match try_write::<W>(node, request, values, place).await {
            WriteEnd::Answer(answer, commit) => return (answer, commit),
            WriteEnd::Again(answer) => {
                if request.wait_left(node.clock.now()).is_zero() {
                    return (answer, None);
                }
                metrics::counter!("resident_retries_total", "reason" => answer.reason())
                    .increment(1);
                event::REQUEST_RETRIED.log(format_args!(
                    "request={} answer={answer:?}",
                    String::from_utf8_lossy(&request.id)
                ));
                pause().await;
            }
        }
    }
}

/// Waits a moment before a full or changed primary is asked again.
pub(super) async fn pause() {
    let millis = rand::rng().random_range(FULL_PAUSE_MS);
    sleep(Duration::from_millis(millis)).await;
}

async fn try_write<W: SessionWire>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    place: ReadPlace,
) -> WriteEnd {
    let ReadPlace {
        mut lease, epoch, ..
    } = place;
    let group = node.group(&request.route.service);
    let target = Rc::clone(lease.target());
    let again = |reason| WriteEnd::Again(StatementAnswer::not_run(reason, BUSY_RETRY));
    let proved = prove::<W>(node, request, &mut lease).await
        && set_up::<W>(node, request, values, &mut lease).await;
    if !proved {
        watch_failure::<W>(node, &target);
        return again(RefusalReason::NoPrimary);
    }
    let sent_at = node.clock.now();
    if !epoch.is_some_and(|epoch| node.is_lease_good(group.service(), epoch, sent_at)) {
        lease.give_back(sent_at);
        return again(RefusalReason::NoPrimary);
    }
    if let Some(link) = lease.link_mut() {
        W::write_statement(&mut link.output, &request.id, None, &request.text);
    }
    request.note_sent(target.id(), epoch, sent_at);
    let ended = node.until_epoch_ends(&group, epoch);
    let result = lease
        .exchange_until::<W>(1, request.answer_time(sent_at), &node.clock, ended)
        .await;
    let now = node.clock.now();
    let Some(reply) = result.ok().and_then(|mut replies| replies.pop()) else {
        watch_failure::<W>(node, &target);
        return WriteEnd::Answer(StatementAnswer::Refused(SessionRefusal::Unknown), None);
    };
    lease.give_back(now);
    note_position(node, &group, &target, sent_at, &reply);
    match reply.fault {
        Some(TargetFault::NotPrimary) => {
            target.note_failure(now, true);
            watch_failure::<W>(node, &target);
            again(RefusalReason::NoPrimary)
        }
        Some(fault) if fault.proves_not_run() => again(RefusalReason::QueueFull),
        Some(_) => WriteEnd::Answer(StatementAnswer::Reply(reply), None),
        None => match epoch {
            Some(epoch) if node.is_lease_good(group.service(), epoch, now) => {
                let commit = reply.position.map(|position| (epoch, position));
                WriteEnd::Answer(StatementAnswer::Reply(reply), commit)
            }
            _ => WriteEnd::Answer(StatementAnswer::Refused(SessionRefusal::Unknown), None),
        },
    }
}

/// Shows by a cheap question that a connection which lay idle still works.
pub(super) async fn prove<W: SessionWire>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    lease: &mut LinkLease,
) -> bool {
    let now = node.clock.now();
    let Some(link) = lease.link_mut() else {
        return false;
    };
    if now.saturating_since(link.used_at) < PROVE_AFTER || link.session == 0 {
        return true;
    }
    W::write_own(&mut link.output, &OwnStatement::Reset);
    link.values_generation = 0;
    link.session = 0;
    link.prepared.clear();
    let time = setup_time(request, now);
    let proved = lease.exchange::<W>(1, time, &node.clock).await;
    proved.is_ok_and(|replies| replies.iter().all(|reply| reply.fault.is_none()))
}
