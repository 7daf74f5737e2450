use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{LogPosition, MonotonicTime};
use mustardhinge_core::primary_lease::GroupEpoch;

use super::{SessionRequest, SessionValues};
use crate::gateway::{ForwardedEnd, ForwardedWork, NotRunCause, WorkAnswer, WorkStep};
use crate::node::NodeState;
use crate::seam::{OwnStatement, SessionWire};
use crate::target::{AnswerTime, LinkError, LinkLease, TargetHandle, TargetReply};

/// A connection that lay idle for longer is proved before a write depends on it.
const VALIDATE_AFTER_IDLE: Duration = Duration::from_millis(700);
/// Most time that making a connection a session's may take.
const SETUP_TIMEOUT: Duration = Duration::from_millis(200);

/// What a statement is to a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransactionStep {
    /// It stands alone.
    Single,
    /// The proxy opens a transaction.
    Begin {
        /// Whether the transaction only reads.
        read_only: bool,
    },
    /// It is a statement of the open transaction.
    Within,
    /// It ends the transaction and keeps it.
    Commit,
    /// The proxy ends the transaction and drops it.
    Rollback,
}

/// Why work may be done at a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EpochGuard {
    /// This instance holds the lease on which the answer rests.
    Lease,
    /// The instance that forwarded the work holds it; here it is only looked whether the epoch
    /// is known to be over.
    Forwarded,
}

/// One statement to run on a borrowed connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatementExecution<'a> {
    /// The statement and its times.
    pub(crate) request: &'a SessionRequest,
    /// What its session has set and prepared.
    pub(crate) values: &'a SessionValues,
    /// What it is to a transaction.
    pub(crate) step: TransactionStep,
    /// The epoch of the primary that runs it; none where a position is enough.
    pub(crate) epoch: Option<GroupEpoch>,
    /// Whose lease that rests on.
    pub(crate) guard: EpochGuard,
    /// What the target has to hold.
    pub(crate) floor: Option<LogPosition>,
    /// How old the rows may be; none where only the position counts.
    pub(crate) max_staleness: Option<Duration>,
}

/// How work on a connection ended without an answer.
#[derive(Debug)]
pub(crate) enum ExecutionError {
    /// The statement has not run, and will not.
    NotRun(LinkError),
    /// It was sent, and may have run.
    Lost(LinkError),
}

/// Runs a statement on a borrowed connection, or through the target's gateway.
pub(crate) async fn execute<W: SessionWire>(
    node: &Rc<NodeState>,
    lease: &mut LinkLease,
    execution: StatementExecution<'_>,
) -> Result<TargetReply, ExecutionError> {
    if lease.forwarded_mut().is_some() {
        execute_forwarded(node, lease, execution).await
    } else {
        execute_direct::<W>(node, lease, execution).await
    }
}

async fn execute_direct<W: SessionWire>(
    node: &Rc<NodeState>,
    lease: &mut LinkLease,
    execution: StatementExecution<'_>,
) -> Result<TargetReply, ExecutionError> {
    let request = execution.request;
    let started_at = node.clock.now();
    let closed = || ExecutionError::NotRun(LinkError::Closed);
    let is_begin = matches!(execution.step, TransactionStep::Begin { .. });
    let needs_validation = is_begin || execution.step == TransactionStep::Single && request.writes;
    if needs_validation && !validate::<W>(node, request, lease).await {
        return Err(closed());
    }
    let needs_setup = matches!(
        execution.step,
        TransactionStep::Single | TransactionStep::Within
    );
    if needs_setup && !set_up_link::<W>(node, request, execution.values, lease).await {
        return Err(closed());
    }
    let sent_at = node.clock.now();
    check_epoch(node, &execution, sent_at)?;
    let link = lease.link_mut().ok_or_else(closed)?;
    let mut statement_count = 1;
    match execution.step {
        TransactionStep::Single => {
            W::write_statement(
                &mut link.output,
                &request.id,
                execution.floor,
                &request.text,
            );
        }
        TransactionStep::Within | TransactionStep::Commit => {
            W::write_statement(&mut link.output, &request.id, None, &request.text);
        }
        TransactionStep::Begin { read_only } => {
            statement_count += execution
                .values
                .write_setup::<W>(link, request.name.as_ref());
            let floor = execution.floor;
            W::write_own(&mut link.output, &OwnStatement::Begin { read_only, floor });
        }
        TransactionStep::Rollback => W::write_own(&mut link.output, &OwnStatement::Rollback),
    }
    request.record_attempt(lease.target().id(), execution.epoch, sent_at);
    let time = response_timeout(&execution, (started_at, sent_at));
    let group = node.group(&request.route.service);
    let epoch_ended = node.until_epoch_ends(&group, execution.epoch.filter(|_| !is_begin));
    let replies = lease.exchange_until::<W>(statement_count, time, &node.clock, epoch_ended);
    let mut replies = replies.await.map_err(ExecutionError::Lost)?;
    let fault = replies.iter().find_map(|reply| reply.fault);
    let mut reply = replies
        .pop()
        .ok_or(ExecutionError::Lost(LinkError::Closed))?;
    reply.fault = fault;
    Ok(reply)
}

async fn execute_forwarded(
    node: &Rc<NodeState>,
    lease: &mut LinkLease,
    execution: StatementExecution<'_>,
) -> Result<TargetReply, ExecutionError> {
    let request = execution.request;
    let target = Rc::clone(lease.target());
    let sent_at = node.clock.now();
    check_epoch(node, &execution, sent_at)?;
    let Some(link) = lease.forwarded_mut() else {
        return Err(ExecutionError::NotRun(LinkError::Closed));
    };
    let gone = NotRunCause::TransactionGone;
    let step = match (execution.step, link.pin()) {
        (TransactionStep::Single, _) => WorkStep::Single,
        (TransactionStep::Begin { read_only }, _) => WorkStep::Begin { read_only },
        (TransactionStep::Within, Some(pin)) => WorkStep::Within { pin },
        (TransactionStep::Commit, Some(pin)) => WorkStep::Commit { pin },
        (TransactionStep::Rollback, Some(pin)) => WorkStep::Rollback { pin },
        (_, None) => return Err(ExecutionError::NotRun(LinkError::GatewayRefused(gone))),
    };
    let forwarded = forwarded_work(&execution, &target, (link.take_number(), step), sent_at);
    request.record_attempt(target.id(), execution.epoch, sent_at);
    let limit = match execution.step {
        TransactionStep::Rollback => SETUP_TIMEOUT,
        _ => request.time_left(sent_at),
    };
    // Only of a read, and of a transaction that has not begun, nobody has to know how it ended.
    let can_abandon = matches!(execution.step, TransactionStep::Begin { .. })
        || execution.step == TransactionStep::Single && !request.writes;
    let group = node.group(&request.route.service);
    let epoch = execution
        .epoch
        .filter(|_| !matches!(execution.step, TransactionStep::Begin { .. }));
    let epoch_ended = node.until_epoch_ends(&group, epoch);
    let end = tokio::select! {
        biased;
        end = link.run(forwarded, limit, can_abandon) => end,
        () = epoch_ended => return Err(ExecutionError::Lost(LinkError::EpochEnded)),
    };
    let now = node.clock.now();
    metrics::histogram!("resident_forwarded_seconds")
        .record(now.saturating_since(sent_at).as_secs_f64());
    let (response, load) = match end {
        ForwardedEnd::Answered(response) => response,
        ForwardedEnd::GatewaySilent => return Err(ExecutionError::Lost(LinkError::GatewayLost)),
        ForwardedEnd::TimedOut => return Err(ExecutionError::Lost(LinkError::Silent)),
    };
    if let Some(load) = load {
        target.note_gateway_load(load, now);
    }
    match response {
        // Until the next change of the table this instance connects itself.
        WorkAnswer::NotRun(NotRunCause::TargetUnknown) => target.set_gateways(None),
        WorkAnswer::NotRun(NotRunCause::Leaving) => link.peer().left(),
        _ => {}
    }
    handle_response(&target, response, (load.is_some(), sent_at), now)
}

/// Takes what the gateway said, and what it says about the target.
fn handle_response(
    target: &TargetHandle,
    response: WorkAnswer,
    (is_from_gateway, sent_at): (bool, MonotonicTime),
    now: MonotonicTime,
) -> Result<TargetReply, ExecutionError> {
    let outcome = match &response {
        WorkAnswer::Replied(_) => "answered",
        WorkAnswer::NotRun(_) => "not_run",
        WorkAnswer::Lost { .. } => "unknown",
    };
    metrics::counter!("resident_forwarded_total", "outcome" => outcome).increment(1);
    match response {
        WorkAnswer::Replied(reply) => {
            target.note_answer(reply.position, now);
            Ok(reply.into())
        }
        WorkAnswer::NotRun(cause) => {
            match cause {
                NotRunCause::TargetFailed => {
                    target.note_failure(sent_at, false);
                }
                NotRunCause::TargetRefused => {
                    target.note_failure(sent_at, true);
                }
                _ => {}
            }
            Err(ExecutionError::NotRun(match cause {
                NotRunCause::Full { retry_ms } => {
                    LinkError::Full(Duration::from_millis(u64::from(retry_ms)))
                }
                NotRunCause::EpochOver => LinkError::EpochEnded,
                cause => LinkError::GatewayRefused(cause),
            }))
        }
        WorkAnswer::Lost { is_silent } if is_from_gateway => {
            target.note_failure(sent_at, false);
            Err(ExecutionError::Lost(if is_silent {
                LinkError::Silent
            } else {
                LinkError::Closed
            }))
        }
        WorkAnswer::Lost { .. } => Err(ExecutionError::Lost(LinkError::GatewayLost)),
    }
}

fn forwarded_work(
    execution: &StatementExecution<'_>,
    target: &TargetHandle,
    (number, step): (u64, WorkStep),
    now: MonotonicTime,
) -> ForwardedWork {
    let request = execution.request;
    let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    ForwardedWork {
        number,
        sent_at: now.as_micros(),
        waited: micros(now.saturating_since(request.received_at)),
        objective_ms: millis(request.route.objective),
        timeout_ms: millis(request.route.statement_timeout),
        service: request.route.service.clone(),
        target: target.id(),
        customer: request.customer.clone(),
        session: request.session,
        generation: execution.values.generation(),
        values: execution.values.values().to_vec(),
        prepared: execution.values.prepared(request.name.as_ref()),
        id: request.id.clone(),
        text: request.text.clone(),
        writes: request.writes,
        epoch: execution.epoch,
        floor: execution.floor,
        age_ms: execution.max_staleness.map(millis),
        step,
    }
}

/// Refuses work at a primary that may not be used any more.
fn check_epoch(
    node: &NodeState,
    execution: &StatementExecution<'_>,
    now: MonotonicTime,
) -> Result<(), ExecutionError> {
    let Some(epoch) = execution.epoch else {
        return Ok(());
    };
    let service = &execution.request.route.service;
    let may_use = match execution.guard {
        EpochGuard::Lease => node.is_lease_good(service, epoch, now),
        EpochGuard::Forwarded => !node.is_epoch_over(service, epoch),
    };
    if may_use {
        Ok(())
    } else {
        Err(ExecutionError::NotRun(LinkError::EpochEnded))
    }
}

fn response_timeout(
    execution: &StatementExecution<'_>,
    (started_at, sent_at): (MonotonicTime, MonotonicTime),
) -> AnswerTime {
    let request = execution.request;
    match execution.step {
        TransactionStep::Begin { .. } | TransactionStep::Rollback => {
            setup_timeout(request, sent_at)
        }
        TransactionStep::Single if !request.writes => {
            let mut time = request.response_timeout(started_at);
            // A read that gets no answer is repeated elsewhere, while there is time for it.
            time.limit = time.limit.min(time.silence * 2);
            time
        }
        TransactionStep::Single => request.response_timeout(sent_at),
        TransactionStep::Within => AnswerTime {
            kind: "in_transaction",
            ..request.response_timeout(sent_at)
        },
        TransactionStep::Commit => AnswerTime {
            kind: "commit",
            ..request.response_timeout(sent_at)
        },
    }
}

/// Returns how long it may take to make a connection a session's.
fn setup_timeout(request: &SessionRequest, now: MonotonicTime) -> AnswerTime {
    let limit = request.time_left(now).min(SETUP_TIMEOUT);
    AnswerTime {
        silence: limit,
        limit,
        patience: None,
        kind: "setup",
    }
}

/// Makes a connection the session's, with its values and the prepared name it needs.
async fn set_up_link<W: SessionWire>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    lease: &mut LinkLease,
) -> bool {
    let Some(link) = lease.link_mut() else {
        return false;
    };
    let statement_count = values.write_setup::<W>(link, request.name.as_ref());
    if statement_count == 0 {
        return true;
    }
    let time = setup_timeout(request, node.clock.now());
    match lease
        .exchange::<W>(statement_count, time, &node.clock)
        .await
    {
        Ok(replies) => replies.iter().all(|reply| reply.fault.is_none()),
        Err(_) => false,
    }
}

/// Shows by a cheap question that a connection which lay idle still works.
async fn validate<W: SessionWire>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    lease: &mut LinkLease,
) -> bool {
    let now = node.clock.now();
    let Some(link) = lease.link_mut() else {
        return false;
    };
    if now.saturating_since(link.used_at) < VALIDATE_AFTER_IDLE || link.session == 0 {
        return true;
    }
    W::write_own(&mut link.output, &OwnStatement::Reset);
    link.values_generation = 0;
    link.session = 0;
    link.prepared.clear();
    let time = setup_timeout(request, now);
    let validated = lease.exchange::<W>(1, time, &node.clock).await;
    validated.is_ok_and(|replies| replies.iter().all(|reply| reply.fault.is_none()))
}
