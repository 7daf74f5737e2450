use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{LogPosition, MonotonicTime};
use mustardhinge_core::primary_lease::GroupEpoch;

use super::{SessionRequest, SessionValues};
use crate::adapter::{ProxyStatement, SessionCodec};
use crate::gateway::{ForwardedEnd, ForwardedWork, NotRunCause, WorkAnswer, WorkStep};
use crate::node::NodeState;
use crate::target::{AnswerTime, LinkError, LinkLease, TargetHandle, TargetReply};

/// A connection that lay idle for longer is proved before a write depends on it.
const PROVE_AFTER: Duration = Duration::from_millis(700);
/// Most time that making a connection a session's may take.
const SETUP_LIMIT: Duration = Duration::from_millis(200);

/// What a statement is to a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkStep {
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
pub(crate) struct LinkWork<'a> {
    /// The statement and its times.
    pub(crate) request: &'a SessionRequest,
    /// What its session has set and prepared.
    pub(crate) values: &'a SessionValues,
    /// What it is to a transaction.
    pub(crate) step: LinkStep,
    /// The epoch of the primary that runs it; none where a position is enough.
    pub(crate) epoch: Option<GroupEpoch>,
    /// Whose lease that rests on.
    pub(crate) guard: EpochGuard,
    /// What the target has to hold.
    pub(crate) floor: Option<LogPosition>,
    /// How old the rows may be; none where only the position counts.
    pub(crate) age: Option<Duration>,
}

/// How work on a connection ended without an answer.
#[derive(Debug)]
pub(crate) enum WorkFault {
    /// The statement has not run, and will not.
    NotRun(LinkError),
    /// It was sent, and may have run.
    Lost(LinkError),
}

/// Runs a statement on a borrowed connection, or through the target's gateway.
pub(crate) async fn run_work<W: SessionCodec>(
    node: &Rc<NodeState>,
    lease: &mut LinkLease,
    work: LinkWork<'_>,
) -> Result<TargetReply, WorkFault> {
    if lease.forwarded_mut().is_some() {
        run_forwarded(node, lease, work).await
    } else {
        run_own::<W>(node, lease, work).await
    }
}

async fn run_own<W: SessionCodec>(
    node: &Rc<NodeState>,
    lease: &mut LinkLease,
    work: LinkWork<'_>,
) -> Result<TargetReply, WorkFault> {
    let request = work.request;
    let came_at = node.clock.now();
    let closed = || WorkFault::NotRun(LinkError::Closed);
    let is_begin = matches!(work.step, LinkStep::Begin { .. });
    let rests_on_link = is_begin || work.step == LinkStep::Single && request.writes;
    if rests_on_link && !prove::<W>(node, request, lease).await {
        return Err(closed());
    }
    let is_set_up = matches!(work.step, LinkStep::Single | LinkStep::Within);
    if is_set_up && !set_up::<W>(node, request, work.values, lease).await {
        return Err(closed());
    }
    let sent_at = node.clock.now();
    check_epoch(node, &work, sent_at)?;
    let link = lease.link_mut().ok_or_else(closed)?;
    let mut count = 1;
    match work.step {
        LinkStep::Single => {
            W::write_statement(&mut link.output, &request.id, work.floor, &request.text);
        }
        LinkStep::Within | LinkStep::Commit => {
            W::write_statement(&mut link.output, &request.id, None, &request.text);
        }
        LinkStep::Begin { read_only } => {
            count += work.values.write_to::<W>(link, request.name.as_ref());
            let floor = work.floor;
            W::write_proxy_statement(
                &mut link.output,
                &ProxyStatement::Begin { read_only, floor },
            );
        }
        LinkStep::Rollback => W::write_proxy_statement(&mut link.output, &ProxyStatement::Rollback),
    }
    request.note_sent(lease.target().id(), work.epoch, sent_at);
    let time = time_of(&work, (came_at, sent_at));
    let group = node.group(&request.route.service);
    let ended = node.wait_for_epoch_end(&group, work.epoch.filter(|_| !is_begin));
    let replies = lease.exchange_until::<W>(count, time, &node.clock, ended);
    let mut replies = replies.await.map_err(WorkFault::Lost)?;
    let fault = replies.iter().find_map(|reply| reply.fault);
    let mut reply = replies.pop().ok_or(WorkFault::Lost(LinkError::Closed))?;
    reply.fault = fault;
    Ok(reply)
}

async fn run_forwarded(
    node: &Rc<NodeState>,
    lease: &mut LinkLease,
    work: LinkWork<'_>,
) -> Result<TargetReply, WorkFault> {
    let request = work.request;
    let target = Rc::clone(lease.target());
    let sent_at = node.clock.now();
    check_epoch(node, &work, sent_at)?;
    let Some(link) = lease.forwarded_mut() else {
        return Err(WorkFault::NotRun(LinkError::Closed));
    };
    let gone = NotRunCause::TransactionGone;
    let step = match (work.step, link.pin()) {
        (LinkStep::Single, _) => WorkStep::Single,
        (LinkStep::Begin { read_only }, _) => WorkStep::Begin { read_only },
        (LinkStep::Within, Some(pin)) => WorkStep::Within { pin },
        (LinkStep::Commit, Some(pin)) => WorkStep::Commit { pin },
        (LinkStep::Rollback, Some(pin)) => WorkStep::Rollback { pin },
        (_, None) => return Err(WorkFault::NotRun(LinkError::GatewayRefused(gone))),
    };
    let forwarded = forward(&work, &target, (link.take_number(), step), sent_at);
    request.note_sent(target.id(), work.epoch, sent_at);
    let limit = match work.step {
        LinkStep::Rollback => SETUP_LIMIT,
        _ => request.time_left(sent_at),
    };
    // Only of a read, and of a transaction that has not begun, nobody has to know how it ended.
    let may_leave = matches!(work.step, LinkStep::Begin { .. })
        || work.step == LinkStep::Single && !request.writes;
    let group = node.group(&request.route.service);
    let epoch = work
        .epoch
        .filter(|_| !matches!(work.step, LinkStep::Begin { .. }));
    let ended = node.wait_for_epoch_end(&group, epoch);
    let end = tokio::select! {
        biased;
        end = link.run(forwarded, limit, may_leave) => end,
        () = ended => return Err(WorkFault::Lost(LinkError::EpochEnded)),
    };
    let now = node.clock.now();
    metrics::histogram!("resident_forwarded_seconds")
        .record(now.saturating_since(sent_at).as_secs_f64());
    let (answer, load) = match end {
        ForwardedEnd::Answered(answer) => answer,
        ForwardedEnd::GatewaySilent => return Err(WorkFault::Lost(LinkError::GatewayLost)),
        ForwardedEnd::TimedOut => return Err(WorkFault::Lost(LinkError::Silent)),
    };
    if let Some(load) = load {
        target.note_gateway_load(load, now);
    }
    match answer {
        // Until the next change of the table this instance connects itself.
        WorkAnswer::NotRun(NotRunCause::TargetUnknown) => target.set_gateways(None),
        WorkAnswer::NotRun(NotRunCause::Leaving) => link.peer().left(),
        _ => {}
    }
    take_answer(&target, answer, (load.is_some(), sent_at), now)
}

/// Takes what the gateway said, and what it says about the target.
fn take_answer(
    target: &TargetHandle,
    answer: WorkAnswer,
    (is_of_gateway, sent_at): (bool, MonotonicTime),
    now: MonotonicTime,
) -> Result<TargetReply, WorkFault> {
    let outcome = match &answer {
        WorkAnswer::Replied(_) => "answered",
        WorkAnswer::NotRun(_) => "not_run",
        WorkAnswer::Lost { .. } => "unknown",
    };
    metrics::counter!("resident_forwarded_total", "outcome" => outcome).increment(1);
    match answer {
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
            Err(WorkFault::NotRun(match cause {
                NotRunCause::Full { retry_ms } => {
                    LinkError::Full(Duration::from_millis(u64::from(retry_ms)))
                }
                NotRunCause::EpochOver => LinkError::EpochEnded,
                cause => LinkError::GatewayRefused(cause),
            }))
        }
        WorkAnswer::Lost { is_silent } if is_of_gateway => {
            target.note_failure(sent_at, false);
            Err(WorkFault::Lost(if is_silent {
                LinkError::Silent
            } else {
                LinkError::Closed
            }))
        }
        WorkAnswer::Lost { .. } => Err(WorkFault::Lost(LinkError::GatewayLost)),
    }
}

fn forward(
    work: &LinkWork<'_>,
    target: &TargetHandle,
    (number, step): (u64, WorkStep),
    now: MonotonicTime,
) -> ForwardedWork {
    let request = work.request;
    let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    ForwardedWork {
        number,
        sent_at: now.as_micros(),
        waited: micros(now.saturating_since(request.came_at)),
        objective_ms: millis(request.route.objective),
        timeout_ms: millis(request.route.statement_timeout),
        service: request.route.service.clone(),
        target: target.id(),
        customer: request.customer.clone(),
        session: request.session,
        generation: work.values.generation(),
        values: work.values.values().to_vec(),
        prepared: work.values.prepared(request.name.as_ref()),
        id: request.id.clone(),
        text: request.text.clone(),
        writes: request.writes,
        epoch: work.epoch,
        floor: work.floor,
        age_ms: work.age.map(millis),
        step,
    }
}

/// Refuses work at a primary that may not be used any more.
fn check_epoch(node: &NodeState, work: &LinkWork<'_>, now: MonotonicTime) -> Result<(), WorkFault> {
    let Some(epoch) = work.epoch else {
        return Ok(());
    };
    let service = &work.request.route.service;
    let may_use = match work.guard {
        EpochGuard::Lease => node.is_lease_valid(service, epoch, now),
        EpochGuard::Forwarded => !node.is_epoch_over(service, epoch),
    };
    if may_use {
        Ok(())
    } else {
        Err(WorkFault::NotRun(LinkError::EpochEnded))
    }
}

fn time_of(work: &LinkWork<'_>, (came_at, sent_at): (MonotonicTime, MonotonicTime)) -> AnswerTime {
    let request = work.request;
    match work.step {
        LinkStep::Begin { .. } | LinkStep::Rollback => setup_time(request, sent_at),
        LinkStep::Single if !request.writes => {
            let mut time = request.answer_time(came_at);
            // A read that gets no answer is repeated elsewhere, while there is time for it.
            time.limit = time.limit.min(time.silence * 2);
            time
        }
        LinkStep::Single => request.answer_time(sent_at),
        LinkStep::Within => AnswerTime {
            kind: "in_transaction",
            ..request.answer_time(sent_at)
        },
        LinkStep::Commit => AnswerTime {
            kind: "commit",
            ..request.answer_time(sent_at)
        },
    }
}

/// Returns how long it may take to make a connection a session's.
fn setup_time(request: &SessionRequest, now: MonotonicTime) -> AnswerTime {
    let limit = request.time_left(now).min(SETUP_LIMIT);
    AnswerTime {
        silence: limit,
        limit,
        patience: None,
        kind: "setup",
    }
}

/// Makes a connection the session's, with its values and the prepared name it needs.
async fn set_up<W: SessionCodec>(
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

/// Shows by a cheap question that a connection which lay idle still works.
async fn prove<W: SessionCodec>(
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
    W::write_proxy_statement(&mut link.output, &ProxyStatement::Reset);
    link.values_generation = 0;
    link.session = 0;
    link.prepared.clear();
    let time = setup_time(request, now);
    let proved = lease.exchange::<W>(1, time, &node.clock).await;
    proved.is_ok_and(|replies| replies.iter().all(|reply| reply.fault.is_none()))
}
