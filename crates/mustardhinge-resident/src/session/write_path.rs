use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;
use mustardhinge_process::event;
use rand::RngExt;
use tokio::time::sleep;

use super::read_path::{OwnCommit, ReadPlace, note_position, place_at_primary};
use super::{
    EpochGuard, LinkStep, LinkWork, SessionRequest, SessionValues, StatementAnswer, WorkFault,
    run_work, watch_failure,
};
use crate::adapter::{SessionCodec, SessionRefusal, TargetFault};
use crate::node::NodeState;
use crate::target::LinkError;

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
pub(super) async fn run_write<W: SessionCodec>(
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

async fn try_write<W: SessionCodec>(
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
    let sent_at = node.clock.now();
    let work = LinkWork {
        request,
        values,
        step: LinkStep::Single,
        epoch,
        guard: EpochGuard::Lease,
        floor: None,
        age: None,
    };
    let result = run_work::<W>(node, &mut lease, work).await;
    let now = node.clock.now();
    let reply = match result {
        Ok(reply) => reply,
        Err(fault) => {
            watch_failure::<W>(node, &target);
            return match fault {
                WorkFault::NotRun(LinkError::Full(after)) => {
                    let after = after.max(BUSY_RETRY);
                    let answer = StatementAnswer::not_run(RefusalReason::QueueFull, after);
                    WriteEnd::Answer(answer, None)
                }
                WorkFault::NotRun(_) => again(RefusalReason::NoPrimary),
                WorkFault::Lost(_) => {
                    WriteEnd::Answer(StatementAnswer::Refused(SessionRefusal::Unknown), None)
                }
            };
        }
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
            Some(epoch) if node.is_lease_valid(group.service(), epoch, now) => {
                let commit = reply.position.map(|position| (epoch, position));
                WriteEnd::Answer(StatementAnswer::Reply(reply), commit)
            }
            _ => WriteEnd::Answer(StatementAnswer::Refused(SessionRefusal::Unknown), None),
        },
    }
}
