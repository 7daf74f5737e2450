use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mustardhinge_core::placement::HomeRegions;
use mustardhinge_core::prelude::{LogPosition, MonotonicTime};
use mustardhinge_core::primary_lease::GroupEpoch;

use super::{SessionRequest, SessionValues};
use crate::adapter::{ProxyStatement, SessionCodec};
use crate::gateway::{
    ForwardResult, ForwardedOutcome, ForwardedStatement, ForwardedStep, NotRunCause,
};
use crate::node::{NodeState, record_outside_home};
use crate::target::{
    ConnectionError, ResponseTimeouts, TargetHandle, TargetLease, TargetReply, UnansweredStatement,
};

/// Idle time after which a connection is validated before a write or a transaction uses it.
const VALIDATE_AFTER_IDLE: Duration = Duration::from_millis(700);
/// Timeout of preparing a connection for a session, and of beginning and rolling back a
/// transaction.
const SETUP_TIMEOUT: Duration = Duration::from_millis(200);

/// Role of a statement in a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransactionStep {
    /// The statement runs outside a transaction.
    Single,
    /// The proxy begins a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// The statement runs in the open transaction.
    Within,
    /// The statement commits the transaction.
    Commit,
    /// The proxy rolls the transaction back.
    Rollback,
}

/// Condition under which a statement may run at a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EpochGuard {
    /// This instance holds the primary lease.
    Lease,
    /// The instance that forwarded the statement holds the primary lease; this instance only
    /// checks that the epoch is not known to be over.
    Forwarded,
}

/// One execution of a statement on a leased connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatementExecution<'a> {
    /// The statement, with its deadlines.
    pub(crate) request: &'a SessionRequest,
    /// Values and prepared statements of the session.
    pub(crate) values: &'a SessionValues,
    /// Role of the statement in a transaction.
    pub(crate) step: TransactionStep,
    /// Epoch of the primary that runs the statement; `None` if the floor is sufficient.
    pub(crate) epoch: Option<GroupEpoch>,
    /// Condition under which the primary may be used.
    pub(crate) guard: EpochGuard,
    /// Log position that the target must have applied.
    pub(crate) floor: Option<LogPosition>,
    /// Maximum staleness of the rows; `None` if only the position matters.
    pub(crate) max_staleness: Option<Duration>,
}

/// Error of a statement that got no response from its target.
#[derive(Debug)]
pub(crate) enum ExecutionError {
    /// The statement has not run and will not run.
    NotRun(ConnectionError),
    /// The statement was sent and may have run.
    Lost(ConnectionError),
}

/// Runs a statement on a leased connection, either directly or through the target's gateway.
///
/// # Errors
///
/// Fails if the connection or the epoch can't be used, or if no response arrives in time. The
/// error shows whether the statement may have run.
pub(crate) async fn execute<W: SessionCodec>(
    node: &Rc<NodeState>,
    lease: &mut TargetLease,
    execution: StatementExecution<'_>,
) -> Result<TargetReply, ExecutionError> {
    let target_use = lease.target().target_use(node.clock.now());
    if target_use.is_evacuated() {
        return Err(ExecutionError::NotRun(ConnectionError::Evacuated));
    }
    if let Some(homes) = &execution.request.homes {
        check_homes(node, lease, homes)?;
    }
    if lease.forwarded_mut().is_some() {
        execute_forwarded(node, lease, execution).await
    } else {
        execute_direct::<W>(node, lease, execution).await
    }
}

/// Returns an error if the statement must not reach the target, or its text the gateway.
fn check_homes(
    node: &NodeState,
    lease: &mut TargetLease,
    homes: &HomeRegions,
) -> Result<(), ExecutionError> {
    let is_allowed = node.allows_target(Some(homes), lease.target())
        && match lease.forwarded_mut().map(|gateway| gateway.peer().zone()) {
            None => true,
            Some(Some(zone)) => node.allows_instance(homes, &zone),
            // The connection on which the gateway told its zone has ended.
            Some(None) => {
                let cause = ConnectionError::GatewayRefused(NotRunCause::Unreachable);
                return Err(ExecutionError::NotRun(cause));
            }
        };
    if is_allowed {
        return Ok(());
    }
    record_outside_home("execution");
    Err(ExecutionError::NotRun(ConnectionError::OutsideHome))
}

async fn execute_direct<W: SessionCodec>(
    node: &Rc<NodeState>,
    lease: &mut TargetLease,
    execution: StatementExecution<'_>,
) -> Result<TargetReply, ExecutionError> {
    let request = execution.request;
    let started_at = node.clock.now();
    let closed = || ExecutionError::NotRun(ConnectionError::Closed);
    let is_begin = matches!(execution.step, TransactionStep::Begin { .. });
    let needs_validation = is_begin || execution.step == TransactionStep::Single && request.writes;
    if needs_validation && !validate::<W>(node, request, lease).await {
        return Err(closed());
    }
    let needs_setup = matches!(
        execution.step,
        TransactionStep::Single | TransactionStep::Within
    );
    if needs_setup && !set_up_connection::<W>(node, request, execution.values, lease).await {
        return Err(closed());
    }
    let sent_at = node.clock.now();
    check_epoch(node, &execution, sent_at)?;
    record_last_request(lease, &execution);
    let connection = lease.connection_mut().ok_or_else(closed)?;
    let mut statement_count = 1;
    match execution.step {
        TransactionStep::Single => {
            W::write_statement(
                &mut connection.output,
                &request.id,
                execution.floor,
                &request.text,
            );
        }
        TransactionStep::Within | TransactionStep::Commit => {
            W::write_statement(&mut connection.output, &request.id, None, &request.text);
        }
        TransactionStep::Begin { read_only } => {
            statement_count += execution
                .values
                .write_setup::<W>(connection, request.name.as_ref());
            let floor = execution.floor;
            W::write_proxy_statement(
                &mut connection.output,
                &ProxyStatement::Begin { read_only, floor },
            );
        }
        TransactionStep::Rollback => {
            W::write_proxy_statement(&mut connection.output, &ProxyStatement::Rollback);
        }
    }
    request.record_attempt(lease.target().id(), execution.epoch, sent_at);
    let timeouts = response_timeouts(&execution, (started_at, sent_at));
    let group = node.group(&request.route.service);
    let epoch_ended = node.wait_for_epoch_end(&group, execution.epoch.filter(|_| !is_begin));
    let replies = lease.exchange_until::<W>(statement_count, timeouts, &node.clock, epoch_ended);
    let mut replies = replies.await.map_err(ExecutionError::Lost)?;
    let fault = replies.iter().find_map(|reply| reply.fault);
    let mut reply = replies
        .pop()
        .ok_or(ExecutionError::Lost(ConnectionError::Closed))?;
    reply.fault = fault;
    Ok(reply)
}

/// Records the request on a connection that may become idle inside a transaction.
fn record_last_request(lease: &mut TargetLease, execution: &StatementExecution<'_>) {
    if lease.has_work()
        && execution.step != TransactionStep::Single
        && let Some(connection) = lease.connection_mut()
    {
        // A copy: the id is a slice of the caller's whole line, which may be 1 MiB long.
        connection.last_request = Bytes::copy_from_slice(&execution.request.id);
    }
}

async fn execute_forwarded(
    node: &Rc<NodeState>,
    lease: &mut TargetLease,
    execution: StatementExecution<'_>,
) -> Result<TargetReply, ExecutionError> {
    let request = execution.request;
    let target = Rc::clone(lease.target());
    let sent_at = node.clock.now();
    check_epoch(node, &execution, sent_at)?;
    let Some(gateway) = lease.forwarded_mut() else {
        return Err(ExecutionError::NotRun(ConnectionError::Closed));
    };
    let Some(step) = forwarded_step(execution.step, gateway.pin()) else {
        let gone = ConnectionError::GatewayRefused(NotRunCause::TransactionGone);
        return Err(ExecutionError::NotRun(gone));
    };
    let forwarded = forwarded_work(&execution, &target, (gateway.next_number(), step), sent_at);
    request.record_attempt(target.id(), execution.epoch, sent_at);
    let limit = match execution.step {
        TransactionStep::Rollback => SETUP_TIMEOUT,
        _ => request.time_left(sent_at),
    };
    let can_abandon = can_abandon(&execution);
    let group = node.group(&request.route.service);
    let epoch = execution
        .epoch
        .filter(|_| !matches!(execution.step, TransactionStep::Begin { .. }));
    let epoch_ended = node.wait_for_epoch_end(&group, epoch);
    let unanswered = UnansweredStatement::new(&target, sent_at);
    let end = tokio::select! {
        biased;
        end = gateway.run(forwarded, request.homes.as_deref(), limit, can_abandon) => end,
        () = epoch_ended => return Err(ExecutionError::Lost(ConnectionError::EpochEnded)),
    };
    drop(unanswered);
    let now = node.clock.now();
    metrics::histogram!("resident_forwarded_seconds")
        .record(now.saturating_since(sent_at).as_secs_f64());
    let (response, load) = match end {
        ForwardResult::Responded(response) => response,
        ForwardResult::Unresponsive => {
            return Err(ExecutionError::Lost(ConnectionError::GatewayLost));
        }
        ForwardResult::TimedOut => return Err(ExecutionError::Lost(ConnectionError::Silent)),
    };
    if let Some(load) = load {
        target.record_gateway_load(load, now);
    }
    match response {
        // Connects to the target directly until the gateway table changes.
        ForwardedOutcome::NotRun(NotRunCause::TargetUnknown) => target.set_gateways(None),
        ForwardedOutcome::NotRun(NotRunCause::Leaving) => gateway.peer().mark_stopping(),
        _ => {}
    }
    record_trust(
        &target,
        execution.step,
        (&response, load.is_some()),
        sent_at,
    );
    handle_response(&target, response, (load.is_some(), sent_at), now)
}

/// Returns the step as the gateway knows it, or `None` without the open transaction that it needs.
const fn forwarded_step(step: TransactionStep, pin: Option<u64>) -> Option<ForwardedStep> {
    match (step, pin) {
        (TransactionStep::Single, _) => Some(ForwardedStep::Single),
        (TransactionStep::Begin { read_only }, _) => Some(ForwardedStep::Begin { read_only }),
        (TransactionStep::Within, Some(pin)) => Some(ForwardedStep::Within { pin }),
        (TransactionStep::Commit, Some(pin)) => Some(ForwardedStep::Commit { pin }),
        (TransactionStep::Rollback, Some(pin)) => Some(ForwardedStep::Rollback { pin }),
        (_, None) => None,
    }
}

/// Records whether the target served a forwarded statement, as evidence besides its probes.
fn record_trust(
    target: &TargetHandle,
    step: TransactionStep,
    (response, is_from_gateway): (&ForwardedOutcome, bool),
    sent_at: MonotonicTime,
) {
    // The begin and the end of a transaction are statements of the proxy, like a probe.
    if matches!(
        step,
        TransactionStep::Begin { .. } | TransactionStep::Rollback
    ) {
        return;
    }
    match response {
        ForwardedOutcome::Replied(_) => target.record_served_statement(),
        ForwardedOutcome::Lost { .. } if is_from_gateway => target.record_lost_statement(sent_at),
        ForwardedOutcome::Lost { .. } | ForwardedOutcome::NotRun(_) => {}
    }
}

/// Returns whether the statement is abandoned when the gateway is unresponsive. Only a read or the
/// begin of a transaction is; the outcome of any other statement must be known.
const fn can_abandon(execution: &StatementExecution<'_>) -> bool {
    match execution.step {
        TransactionStep::Begin { .. } => true,
        TransactionStep::Single => !execution.request.writes,
        _ => false,
    }
}

/// Converts the gateway's response to a result, and updates the target's health and the
/// metrics.
fn handle_response(
    target: &TargetHandle,
    response: ForwardedOutcome,
    (is_from_gateway, sent_at): (bool, MonotonicTime),
    now: MonotonicTime,
) -> Result<TargetReply, ExecutionError> {
    let outcome = match &response {
        ForwardedOutcome::Replied(_) => "answered",
        ForwardedOutcome::NotRun(_) => "not_run",
        ForwardedOutcome::Lost { .. } => "unknown",
    };
    metrics::counter!("resident_forwarded_total", "outcome" => outcome).increment(1);
    match response {
        ForwardedOutcome::Replied(reply) => {
            target.record_response(reply.position, now);
            Ok(reply.into())
        }
        ForwardedOutcome::NotRun(cause) => {
            match cause {
                NotRunCause::TargetFailed => {
                    target.record_failure(sent_at, false);
                }
                NotRunCause::TargetRefused => {
                    target.record_failure(sent_at, true);
                }
                _ => {}
            }
            Err(ExecutionError::NotRun(match cause {
                NotRunCause::Full { retry_ms } => {
                    ConnectionError::Full(Duration::from_millis(u64::from(retry_ms)))
                }
                NotRunCause::EpochOver => ConnectionError::EpochEnded,
                NotRunCause::OutsideHome => ConnectionError::OutsideHome,
                cause => ConnectionError::GatewayRefused(cause),
            }))
        }
        ForwardedOutcome::Lost { is_silent } if is_from_gateway => {
            target.record_failure(sent_at, false);
            Err(ExecutionError::Lost(if is_silent {
                ConnectionError::Silent
            } else {
                ConnectionError::Closed
            }))
        }
        ForwardedOutcome::Lost { .. } => Err(ExecutionError::Lost(ConnectionError::GatewayLost)),
    }
}

/// Builds the message that forwards a statement to a gateway.
fn forwarded_work(
    execution: &StatementExecution<'_>,
    target: &TargetHandle,
    (number, step): (u64, ForwardedStep),
    now: MonotonicTime,
) -> ForwardedStatement {
    let request = execution.request;
    let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    ForwardedStatement {
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
        priority: request.route.priority,
    }
}

/// Returns an error if the statement's primary may no longer be used.
fn check_epoch(
    node: &NodeState,
    execution: &StatementExecution<'_>,
    now: MonotonicTime,
) -> Result<(), ExecutionError> {
    let Some(epoch) = execution.epoch else {
        return Ok(());
    };
    let service = &execution.request.route.service;
    let is_usable = match execution.guard {
        EpochGuard::Lease => node.is_lease_valid(service, epoch, now),
        EpochGuard::Forwarded => !node.is_epoch_over(service, epoch),
    };
    if is_usable {
        Ok(())
    } else {
        Err(ExecutionError::NotRun(ConnectionError::EpochEnded))
    }
}

/// Returns how long the response may take, which depends on its step.
fn response_timeouts(
    execution: &StatementExecution<'_>,
    (started_at, sent_at): (MonotonicTime, MonotonicTime),
) -> ResponseTimeouts {
    let request = execution.request;
    match execution.step {
        TransactionStep::Begin { .. } | TransactionStep::Rollback => {
            setup_timeouts(request, sent_at)
        }
        TransactionStep::Single if !request.writes => {
            let mut timeouts = request.response_timeouts(started_at);
            // A read without a response is retried at another target while time remains.
            timeouts.limit = timeouts.limit.min(timeouts.unresponsive_after * 2);
            timeouts
        }
        TransactionStep::Single => request.response_timeouts(sent_at),
        TransactionStep::Within => ResponseTimeouts {
            kind: "in_transaction",
            ..request.response_timeouts(sent_at)
        },
        TransactionStep::Commit => ResponseTimeouts {
            kind: "commit",
            ..request.response_timeouts(sent_at)
        },
    }
}

/// Returns the timeout for preparing a connection for a session.
fn setup_timeouts(request: &SessionRequest, now: MonotonicTime) -> ResponseTimeouts {
    let limit = request.time_left(now).min(SETUP_TIMEOUT);
    ResponseTimeouts {
        unresponsive_after: limit,
        limit,
        slow_after: None,
        kind: "setup",
    }
}

/// Applies the session's values, and the prepared statement that the request needs, to the
/// connection. Returns whether all were accepted.
async fn set_up_connection<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    values: &SessionValues,
    lease: &mut TargetLease,
) -> bool {
    let Some(connection) = lease.connection_mut() else {
        return false;
    };
    let statement_count = values.write_setup::<W>(connection, request.name.as_ref());
    if statement_count == 0 {
        return true;
    }
    let timeouts = setup_timeouts(request, node.clock.now());
    match lease
        .exchange::<W>(statement_count, timeouts, &node.clock)
        .await
    {
        Ok(replies) => replies.iter().all(|reply| reply.fault.is_none()),
        Err(_) => false,
    }
}

/// Checks with a cheap round trip that an idle connection still works.
///
/// A connection that was used recently or serves no session yet counts as valid without a check.
async fn validate<W: SessionCodec>(
    node: &Rc<NodeState>,
    request: &SessionRequest,
    lease: &mut TargetLease,
) -> bool {
    let now = node.clock.now();
    let Some(connection) = lease.connection_mut() else {
        return false;
    };
    if now.saturating_since(connection.used_at) < VALIDATE_AFTER_IDLE || connection.session == 0 {
        return true;
    }
    W::write_proxy_statement(&mut connection.output, &ProxyStatement::Reset);
    connection.values_generation = 0;
    connection.session = 0;
    connection.prepared.clear();
    let timeouts = setup_timeouts(request, now);
    let validated = lease.exchange::<W>(1, timeouts, &node.clock).await;
    validated.is_ok_and(|replies| replies.iter().all(|reply| reply.fault.is_none()))
}
