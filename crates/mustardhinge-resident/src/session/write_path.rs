use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;
use mustardhinge_process::event;
use rand::RngExt;
use tokio::time::sleep;

use super::read_path::{LastCommit, Placement, place_at_primary, record_position};
use super::{
    EpochGuard, ExecutionError, SessionRequest, SessionValues, StatementExecution,
    StatementOutcome, TransactionStep, execute, probe_if_failing,
};
use crate::node::NodeState;
use crate::seam::{SessionRefusal, SessionWire, TargetFault};
use crate::target::LinkError;

/// Delay before a statement is retried at the primary, in milliseconds; about one typical
/// service time.
const RETRY_DELAY_MS: std::ops::Range<u64> = 5..25;
/// Retry delay that is suggested to the caller if the primary is full.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Result of one attempt to run a write.
enum WriteOutcome {
    /// The write has a final outcome and, if it committed, a position.
    Done(StatementOutcome, LastCommit),
    /// The write has not run and may be retried; the outcome is returned if no time remains.
    Retry(StatementOutcome),
}

/// Runs a write outside a transaction at the primary.
///
/// A write that has been sent is only retried if the primary reports that it has not run.
pub(super) async fn run_write<W: SessionWire>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
) -> (StatementOutcome, LastCommit) {
    let group = node.group(&request.route.service);
    loop {
        let placement = match place_at_primary::<W>(node, &group, request).await {
            Ok(placement) => placement,
            Err(outcome) => return (outcome, None),
        };
        match try_write::<W>(node, request, values, placement).await {
            WriteOutcome::Done(outcome, commit) => return (outcome, commit),
            WriteOutcome::Retry(outcome) => {
                if request.wait_left(node.clock.now()).is_zero() {
                    return (outcome, None);
                }
                metrics::counter!("resident_retries_total", "reason" => outcome.reason())
                    .increment(1);
                event::REQUEST_RETRIED.log(format_args!(
                    "request={} answer={outcome:?}",
                    String::from_utf8_lossy(&request.id)
                ));
                wait_before_retry().await;
            }
        }
    }
}

/// Waits for a random delay before a statement is retried at a full or changed primary.
pub(super) async fn wait_before_retry() {
    let millis = rand::rng().random_range(RETRY_DELAY_MS);
    sleep(Duration::from_millis(millis)).await;
}

async fn try_write<W: SessionWire>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    placement: Placement,
) -> WriteOutcome {
    let Placement {
        mut lease, epoch, ..
    } = placement;
    let group = node.group(&request.route.service);
    let target = Rc::clone(lease.target());
    let retry = |reason| WriteOutcome::Retry(StatementOutcome::not_run(reason, BUSY_RETRY_AFTER));
    let sent_at = node.clock.now();
    let execution = StatementExecution {
        request,
        values,
        step: TransactionStep::Single,
        epoch,
        guard: EpochGuard::Lease,
        floor: None,
        max_staleness: None,
    };
    let result = execute::<W>(node, &mut lease, execution).await;
    let now = node.clock.now();
    let reply = match result {
        Ok(reply) => reply,
        Err(error) => {
            probe_if_failing::<W>(node, &target);
            return match error {
                ExecutionError::NotRun(LinkError::Full(after)) => {
                    let after = after.max(BUSY_RETRY_AFTER);
                    let outcome = StatementOutcome::not_run(RefusalReason::QueueFull, after);
                    WriteOutcome::Done(outcome, None)
                }
                ExecutionError::NotRun(_) => retry(RefusalReason::NoPrimary),
                ExecutionError::Lost(_) => {
                    WriteOutcome::Done(StatementOutcome::Refused(SessionRefusal::Unknown), None)
                }
            };
        }
    };
    lease.give_back(now);
    record_position(node, &group, &target, sent_at, &reply);
    match reply.fault {
        Some(TargetFault::NotPrimary) => {
            target.note_failure(now, true);
            probe_if_failing::<W>(node, &target);
            retry(RefusalReason::NoPrimary)
        }
        Some(fault) if fault.proves_not_run() => retry(RefusalReason::QueueFull),
        Some(_) => WriteOutcome::Done(StatementOutcome::Reply(reply), None),
        None => match epoch {
            Some(epoch) if node.is_lease_good(group.service(), epoch, now) => {
                let commit = reply.position.map(|position| (epoch, position));
                WriteOutcome::Done(StatementOutcome::Reply(reply), commit)
            }
            _ => WriteOutcome::Done(StatementOutcome::Refused(SessionRefusal::Unknown), None),
        },
    }
}
