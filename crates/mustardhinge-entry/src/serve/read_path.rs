use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::WorkKind;
use mustardhinge_core::replication::AckOutcome;
use mustardhinge_core::routing::{ReadQuery, ReadRoute};
use mustardhinge_core::session::ReadRequirement;

use super::run_context::RunContext;
use super::target_run::TargetRun;
use super::{CallerSession, CallerStream, RequestEnd};
use crate::request::{CallerRequest, HoldMode, RelayError};
use crate::target::PoolRefusal;

/// Maximum number of targets that one read is tried on.
const MAX_READ_ATTEMPTS: usize = 3;

/// SQLSTATE of a write on a read-only server.
const READ_ONLY_SQLSTATE: &str = "25006";

/// Response timeout of the first attempt of a repeatable request. Later attempts
/// may use all of the remaining time.
pub(super) const FIRST_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest group in which a replica and its primary form a majority. In such a
/// group, rows on a replica can't be undone by a failover.
const SAFE_REPLICA_GROUP: usize = 3;

/// Target chosen for a read.
struct ReadChoice {
    target: TargetId,
    is_primary: bool,
}

/// Result of a read on one target.
enum ReadAttempt {
    /// The read has ended, successfully or not.
    Ended(RequestEnd),
    /// The target failed before any part of the response reached the caller.
    TargetFailed {
        /// Whether the read may have run on the target.
        is_sent: bool,
    },
    /// The target refused the statement because it writes.
    Writes,
}

impl<S: CallerStream> CallerSession<S> {
    /// Runs a read on a target that satisfies the session's read requirement.
    pub(super) async fn run_read(
        &mut self,
        request: &CallerRequest,
        context: &RunContext,
    ) -> RequestEnd {
        let mut excluded = Vec::new();
        let mut was_sent = false;
        let may_repeat = context.is_repeatable || !request.calls_function;
        while excluded.len() < MAX_READ_ATTEMPTS {
            let choice = match self.route_read(context, &excluded).await {
                Ok(choice) => choice,
                Err(refused) => return adjust_end(refused, was_sent),
            };
            let left = context.time_left(self.shared.now());
            let max_wait = if excluded.is_empty() && may_repeat {
                left.min(FIRST_ATTEMPT_TIMEOUT)
            } else {
                left
            };
            match self.try_read(request, context, &choice, max_wait).await {
                ReadAttempt::Ended(end) => return adjust_end(end, was_sent),
                ReadAttempt::Writes => return self.run_write(request, context).await,
                ReadAttempt::TargetFailed { is_sent } => {
                    was_sent |= is_sent;
                    if is_sent && !may_repeat {
                        return RequestEnd::unknown("the target did not answer");
                    }
                    count_retry("read_target_failed");
                    excluded.push(choice.target);
                }
            }
        }
        adjust_end(no_target(), was_sent)
    }

    /// Chooses a target. Waits for a read floor or for a replica to catch up if
    /// the router requires it.
    async fn route_read(
        &self,
        context: &RunContext,
        excluded: &[TargetId],
    ) -> Result<ReadChoice, RequestEnd> {
        let mut query = ReadQuery {
            requirement: self.floor.requirement(context.max_age),
            arrived_at: self.shared.now(),
            deadline: context.deadline,
            is_repeatable: context.is_repeatable,
        };
        let group = context.service.group();
        if group.snapshot().view.reports().next().is_none() {
            group.floor().await.ok_or_else(floor_unknown)?;
        }
        loop {
            let snapshot = group.snapshot();
            let states = context.service.target_states(&snapshot, excluded);
            let router = context.service.router();
            let now = self.shared.now();
            match router.route(&query, &states, &snapshot.history, now) {
                ReadRoute::Replica { target, .. } => {
                    count_read("replica");
                    let is_primary = false;
                    return Ok(ReadChoice { target, is_primary });
                }
                ReadRoute::Primary(target) => {
                    count_read("primary");
                    let is_primary = true;
                    return Ok(ReadChoice { target, is_primary });
                }
                ReadRoute::NeedsFloor => {
                    let floor = group.floor().await.ok_or_else(floor_unknown)?;
                    query.requirement = with_floor(query.requirement, floor);
                }
                ReadRoute::WaitFor {
                    target,
                    floor,
                    until,
                } => {
                    let max_wait = until.saturating_since(now);
                    group.await_applied(&target, floor, until, max_wait).await;
                }
                ReadRoute::Refuse {
                    reason,
                    retry_after,
                } => {
                    let message = "no target holds what the session has to see";
                    return Err(RequestEnd::refused(reason, Some(retry_after), message));
                }
            }
        }
    }

    async fn try_read(
        &mut self,
        request: &CallerRequest,
        context: &RunContext,
        choice: &ReadChoice,
        max_wait: Duration,
    ) -> ReadAttempt {
        let Some(pool) = context.service.pool(&choice.target) else {
            return ReadAttempt::TargetFailed { is_sent: false };
        };
        let mut lease = match pool.acquire(&context.slot_request(WorkKind::Read)).await {
            Ok(lease) => lease,
            Err(PoolRefusal::Connection(_)) => {
                return ReadAttempt::TargetFailed { is_sent: false };
            }
            Err(refusal) => return ReadAttempt::Ended(refused_by_pool(&refusal)),
        };
        if let Err(refused) = self.recheck(request) {
            lease.release(self.shared.now());
            return ReadAttempt::Ended(refused);
        }
        let may_be_undone =
            choice.is_primary || context.service.target_count() > SAFE_REPLICA_GROUP;
        let mode = if may_be_undone {
            HoldMode::Completion
        } else {
            HoldMode::Nothing
        };
        let run = self.run_on(&mut lease, request, mode, max_wait).await;
        let now = self.shared.now();
        if run.result.is_ok() {
            lease.release(now);
        }
        match read_outcome(run) {
            ReadAttempt::Ended(end) if may_be_undone => {
                ReadAttempt::Ended(confirm_read(context, &choice.target, now, end).await)
            }
            outcome => outcome,
        }
    }
}

/// Holds back the response of a read until no change of primary can undo the
/// rows that it returned.
async fn confirm_read(
    context: &RunContext,
    target: &TargetId,
    read_at: MonotonicTime,
    end: RequestEnd,
) -> RequestEnd {
    let RequestEnd::Responded(held) = end else {
        return end;
    };
    let group = context.service.group();
    match group.confirm_read(target, read_at).await {
        AckOutcome::Acknowledged => RequestEnd::Responded(held),
        AckOutcome::Unknown(failure) => {
            let message = format!("the rows read may be undone: {}", failure.label());
            RequestEnd::unknown(&message)
        }
    }
}

/// Adjusts the end of a read that an earlier target may have received.
fn adjust_end(end: RequestEnd, was_sent: bool) -> RequestEnd {
    if was_sent { end.after_sending() } else { end }
}

fn read_outcome(run: TargetRun) -> ReadAttempt {
    match run.result {
        Ok(end) => {
            let code = end.error_code().ok().flatten();
            match end.error {
                None => ReadAttempt::Ended(RequestEnd::Responded(end.held)),
                Some(_) if code.as_deref() == Some(READ_ONLY_SQLSTATE) && !run.has_forwarded => {
                    ReadAttempt::Writes
                }
                Some(error) => ReadAttempt::Ended(RequestEnd::TargetError(end.held, error)),
            }
        }
        Err(RelayError::Caller(error)) => ReadAttempt::Ended(RequestEnd::CallerDisconnected(error)),
        Err(_) if !run.has_forwarded => ReadAttempt::TargetFailed { is_sent: true },
        Err(error) => {
            let message = format!("the answer broke off: {error}");
            ReadAttempt::Ended(RequestEnd::unknown(&message))
        }
    }
}

/// Adds a floor to the requirement of a read. The floor replaces a maximum age.
fn with_floor(requirement: ReadRequirement, floor: LogPosition) -> ReadRequirement {
    match requirement {
        ReadRequirement::MaxAge(_) => ReadRequirement::Floor(floor),
        ReadRequirement::FloorAndMaxAge(own, _) => ReadRequirement::Floor(own.max(floor)),
        other => other.with_floor(floor),
    }
}

/// Returns the end of a request that the pool refused.
pub(super) fn refused_by_pool(refusal: &PoolRefusal) -> RequestEnd {
    match refusal {
        PoolRefusal::Queue {
            reason,
            retry_after,
        } => {
            let message = "the request can't be served before its deadline";
            RequestEnd::refused(*reason, Some(*retry_after), message)
        }
        PoolRefusal::Connection(_) => no_target(),
    }
}

fn no_target() -> RequestEnd {
    let retry_after = RetryDelay::new(Duration::from_millis(250));
    let message = "no target of the group answers";
    RequestEnd::refused(RefusalReason::NoTarget, Some(retry_after), message)
}

fn floor_unknown() -> RequestEnd {
    let retry_after = RetryDelay::new(Duration::from_millis(250));
    let message = "no majority of the group's servers answers";
    RequestEnd::refused(RefusalReason::FloorNotReached, Some(retry_after), message)
}

/// Counts a retry under its reason.
pub(super) fn count_retry(reason: &'static str) {
    metrics::counter!("mustardhinge_retries_total", "reason" => reason).increment(1);
}

fn count_read(role: &'static str) {
    metrics::counter!("mustardhinge_reads_total", "role" => role).increment(1);
}
