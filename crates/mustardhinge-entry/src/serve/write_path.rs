use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::WorkKind;
use mustardhinge_core::request::{NotRunProof, SentRequest, UnsentRequest};

use super::read_path::{count_retry, refused_by_pool};
use super::run_context::RunContext;
use super::target_run::TargetRun;
use super::{CallerSession, CallerStream, RequestEnd};
use crate::request::{CallerRequest, HoldMode, RelayError, ReplyEnd};
use crate::target::{PoolRefusal, TargetLease};

/// Retry delay for a caller while there is no writable primary.
pub(super) const NO_PRIMARY_RETRY: RetryDelay = RetryDelay::new(Duration::from_millis(500));

/// Delay before connecting to an unreachable primary is retried.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Result of a write on one primary.
enum WriteAttempt {
    /// The write has ended, successfully or not.
    Ended(RequestEnd),
    /// The server proved that the write did not run, because it is no longer the
    /// primary.
    NotPrimary(UnsentRequest),
}

impl<S: CallerStream> CallerSession<S> {
    /// Runs a write outside a transaction.
    ///
    /// A write without a request id is resent only if the server proved that it
    /// did not run.
    pub(super) async fn run_write(
        &mut self,
        request: &CallerRequest,
        context: &RunContext,
    ) -> RequestEnd {
        if let Some(id) = request.request_id().cloned() {
            return self.run_recorded(request, context, &id).await;
        }
        let mut unsent = UnsentRequest::new();
        let mut replaced = None;
        loop {
            let found = self
                .acquire_primary(context, WorkKind::Write, replaced)
                .await;
            let (lease, term) = match found {
                Ok(found) => found,
                Err(refused) => return refused,
            };
            match self
                .try_write(request, context, (lease, term), unsent)
                .await
            {
                WriteAttempt::Ended(end) => return end,
                WriteAttempt::NotPrimary(again) => {
                    count_retry("not_primary");
                    unsent = again;
                    replaced = Some(term);
                }
            }
        }
    }

    /// Acquires a connection to the primary, waiting until the deadline.
    ///
    /// If this fails, nothing has been sent.
    pub(super) async fn acquire_primary(
        &self,
        context: &RunContext,
        kind: WorkKind,
        replaced: Option<LeaderTerm>,
    ) -> Result<(TargetLease, LeaderTerm), RequestEnd> {
        let group = context.service.group();
        loop {
            let left = context.time_left(self.shared.now());
            let found = match replaced {
                None => group.await_primary(left).await,
                Some(term) => group.await_other_primary(term, left).await,
            };
            let Some((target, term)) = found else {
                return Err(no_primary());
            };
            let (target, term) = self.wait_for_write_hold(context, target, term).await;
            let pool = context.service.pool(&target).ok_or_else(no_primary)?;
            match pool.acquire(&context.slot_request(kind)).await {
                Ok(lease) => return Ok((lease, term)),
                Err(PoolRefusal::Connection(_)) => {
                    count_retry("primary_not_reached");
                    tokio::time::sleep(CONNECT_RETRY_DELAY).await;
                }
                Err(refusal) => return Err(refused_by_pool(&refusal)),
            }
        }
    }

    /// Waits while new writes to the primary are held before a planned switchover.
    ///
    /// Returns the next primary if it is known by then, else the given one.
    async fn wait_for_write_hold(
        &self,
        context: &RunContext,
        target: TargetId,
        term: LeaderTerm,
    ) -> (TargetId, LeaderTerm) {
        let now = self.shared.now();
        let group = &context.service.document().group.name;
        let hold = self.shared.control().write_hold(group, term, now);
        let max_wait = hold.min(context.time_left(now));
        if max_wait.is_zero() {
            return (target, term);
        }
        let next = context.service.group().await_other_primary(term, max_wait);
        next.await.unwrap_or((target, term))
    }

    async fn try_write(
        &mut self,
        request: &CallerRequest,
        context: &RunContext,
        (mut lease, term): (TargetLease, LeaderTerm),
        unsent: UnsentRequest,
    ) -> WriteAttempt {
        if let Err(refused) = self.recheck(request) {
            lease.release(self.shared.now());
            return WriteAttempt::Ended(refused);
        }
        let now = self.shared.now();
        let sent = unsent.send(now);
        let max_wait = context.time_left(now);
        let group = context.service.group().clone();
        let run = tokio::select! {
            biased;
            run = self.run_on(&mut lease, request, HoldMode::Completion, max_wait) => Some(run),
            Some(_) = group.await_other_primary(term, max_wait) => None,
        };
        let Some(TargetRun {
            result,
            has_forwarded,
        }) = run
        else {
            return WriteAttempt::Ended(replaced_write(sent));
        };
        match result {
            Ok(end) => {
                let target = lease.pool().target().clone();
                lease.release(self.shared.now());
                match proof_of(&end).filter(|_| !has_forwarded) {
                    Some(proof) if proof.reason() == RefusalReason::NoPrimary => {
                        WriteAttempt::NotPrimary(sent.into_unsent(proof))
                    }
                    _ => WriteAttempt::Ended(self.finish_write(context, &target, end).await),
                }
            }
            Err(error) => WriteAttempt::Ended(failed_write(sent, error)),
        }
    }

    async fn finish_write(
        &self,
        context: &RunContext,
        target: &TargetId,
        end: ReplyEnd,
    ) -> RequestEnd {
        match end.error {
            Some(error) => RequestEnd::TargetError(end.held, error),
            None => self.confirm(context, target, end.position, end.held).await,
        }
    }
}

/// Returns proof that the statement did not run, if the target's error is such a
/// proof.
pub(super) fn proof_of(end: &ReplyEnd) -> Option<NotRunProof> {
    let code = end.error_code().ok().flatten()?;
    NotRunProof::from_sqlstate(&code)
}

/// Returns the end of a write whose primary was replaced before it responded.
///
/// A late response could no longer be confirmed.
fn replaced_write(sent: SentRequest) -> RequestEnd {
    let _outcome: StatementOutcome = sent.abandon();
    RequestEnd::unknown("the primary was replaced before it answered")
}

fn failed_write(sent: SentRequest, error: RelayError) -> RequestEnd {
    let _outcome: StatementOutcome = sent.abandon();
    match error {
        RelayError::Caller(error) => RequestEnd::CallerDisconnected(error),
        other => RequestEnd::unknown(&other.to_string()),
    }
}

/// Returns the end of a request for which there is no writable primary.
pub(super) fn no_primary() -> RequestEnd {
    let message = "the group has no writable primary";
    RequestEnd::refused(RefusalReason::NoPrimary, Some(NO_PRIMARY_RETRY), message)
}
