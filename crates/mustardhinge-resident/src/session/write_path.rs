use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;
use mustardhinge_core::session::SessionCommit;
use mustardhinge_process::event;
use rand::RngExt;
use tokio::time::sleep;

use super::position_context::PositionContext;
use super::read_path::{Placement, place_at_primary};
use super::retry_gate::{admit_retry, record_operation};
use super::{
    EpochGuard, ExecutionError, SessionRequest, SessionValues, StatementExecution,
    StatementResponse, TransactionStep, execute, probe_if_failing,
};
use crate::adapter::{SessionCodec, SessionRefusal, TargetFault};
use crate::node::NodeState;
use crate::target::ConnectionError;

/// Delay before a statement is retried at the primary, in milliseconds; about one typical
/// service time.
const RETRY_DELAY_MS: std::ops::Range<u64> = 5..25;
/// Retry delay that is suggested to the caller if the primary is full.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Result of an attempt to run a write.
enum WriteCompletion {
    /// The response is final; a committed write has a position.
    Done(StatementResponse, Option<SessionCommit>),
    /// The write has not run and may be retried; the response is used if no time remains.
    Retry(StatementResponse),
}

/// Runs a write outside a transaction at the primary.
///
/// A write that has been sent is only retried if the primary reports that it has not run.
pub(super) async fn run_write<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
) -> (StatementResponse, Option<SessionCommit>) {
    record_operation(node, request);
    let group = node.group(&request.route.service);
    loop {
        let placement = match place_at_primary::<W>(node, &group, request).await {
            Ok(placement) => placement,
            Err(response) => return (response, None),
        };
        match try_write::<W>(node, request, values, placement).await {
            WriteCompletion::Done(response, commit) => return (response, commit),
            WriteCompletion::Retry(response) => {
                let has_time = !request.wait_left(node.clock.now()).is_zero();
                if !has_time || !admit_retry(node, request) {
                    return (response, None);
                }
                metrics::counter!("resident_retries_total", "reason" => response.reason())
                    .increment(1);
                event::REQUEST_RETRIED.log(format_args!(
                    "request={} answer={response:?}",
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

async fn try_write<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    placement: Placement,
) -> WriteCompletion {
    let Placement {
        mut lease, epoch, ..
    } = placement;
    let group = node.group(&request.route.service);
    let target = Rc::clone(lease.target());
    let retry =
        |reason| WriteCompletion::Retry(StatementResponse::not_run(reason, BUSY_RETRY_AFTER));
    let context = PositionContext::new(node, &group, &target, node.clock.now());
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
                ExecutionError::NotRun(ConnectionError::Full(after)) => {
                    let after = after.max(BUSY_RETRY_AFTER);
                    let response = StatementResponse::not_run(RefusalReason::QueueFull, after);
                    WriteCompletion::Done(response, None)
                }
                ExecutionError::NotRun(ConnectionError::OutsideHome) => {
                    WriteCompletion::Done(StatementResponse::outside_home(), None)
                }
                ExecutionError::NotRun(_) => retry(RefusalReason::NoPrimary),
                ExecutionError::Lost(_) => {
                    WriteCompletion::Done(StatementResponse::Refused(SessionRefusal::Unknown), None)
                }
            };
        }
    };
    lease.release(now);
    context.record(node, &group, &target, &reply);
    match reply.fault {
        Some(TargetFault::NotPrimary) => {
            target.record_failure(now, true);
            probe_if_failing::<W>(node, &target);
            retry(RefusalReason::NoPrimary)
        }
        Some(fault) if fault.proves_not_run() => retry(RefusalReason::QueueFull),
        Some(_) => WriteCompletion::Done(StatementResponse::Reply(reply), None),
        None => match epoch {
            Some(epoch) if node.is_lease_valid(group.service(), epoch, now) => {
                let position = reply.position;
                let commit = position.map(|at| group.session_commit(epoch, at, now));
                WriteCompletion::Done(StatementResponse::Reply(reply), commit)
            }
            _ => WriteCompletion::Done(StatementResponse::Refused(SessionRefusal::Unknown), None),
        },
    }
}
