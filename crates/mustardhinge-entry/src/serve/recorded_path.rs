use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::WorkKind;

use super::read_path::{FIRST_ATTEMPT_TIMEOUT, count_retry};
use super::recorded_resolve::{error_of, target_error};
use super::recorded_run::{RecordedAttempt, RecordedError, RecordedRun};
use super::run_context::RunContext;
use super::{CallerSession, CallerStream, RequestEnd};
use crate::request::{CallerRequest, HoldMode, RelayError, RequestRecord};
use crate::target::{ConnectionError, TargetLease};
use crate::wire::ErrorReply;

/// Delay before a request is retried after its primary failed.
const RETRY_DELAY: Duration = Duration::from_millis(5);

impl<S: CallerStream> CallerSession<S> {
    /// Runs a write that carries a request id.
    ///
    /// The request record is inserted in the same transaction as the write. A
    /// retry finds the record, so the write is applied only once.
    pub(super) async fn run_recorded(
        &mut self,
        request: &CallerRequest,
        context: &RunContext,
        id: &RequestId,
    ) -> RequestEnd {
        let recorded = RecordedRun {
            request,
            context,
            record: RequestRecord::new(&context.customer, id, request),
        };
        let mut replaced = None;
        let mut was_sent = false;
        loop {
            let found = self
                .acquire_primary(context, WorkKind::Write, replaced)
                .await;
            let (lease, term) = match found {
                Ok(found) => found,
                Err(_) if was_sent => return RequestEnd::unknown("the primary was lost"),
                Err(refused) => return refused,
            };
            if let Err(refused) = self.recheck(request) {
                lease.release(self.shared.now());
                return if was_sent {
                    RequestEnd::unknown("the key was withdrawn meanwhile")
                } else {
                    refused
                };
            }
            let is_retry = std::mem::replace(&mut was_sent, true);
            let attempt = self.try_while_primary(&recorded, lease, term, is_retry);
            match attempt.await {
                RecordedAttempt::Ended(end) => return end,
                RecordedAttempt::PrimaryFailed => {
                    count_retry("recorded_primary_failed");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                RecordedAttempt::NotPrimary(term) => {
                    count_retry("not_primary");
                    replaced = Some(term);
                }
            }
            if self.shared.now() >= context.deadline {
                return RequestEnd::unknown("the deadline passed");
            }
        }
    }

    /// Attempts the request once.
    ///
    /// The attempt is abandoned as soon as another primary is known. The record on
    /// the new primary then shows whether the request ran.
    async fn try_while_primary(
        &mut self,
        recorded: &RecordedRun<'_>,
        lease: TargetLease,
        term: LeaderTerm,
        is_retry: bool,
    ) -> RecordedAttempt {
        let left = recorded.context.time_left(self.shared.now());
        let max_wait = if is_retry {
            left
        } else {
            left.min(FIRST_ATTEMPT_TIMEOUT)
        };
        let group = recorded.context.service.group().clone();
        tokio::select! {
            biased;
            attempt = self.try_recorded(recorded, lease, (term, max_wait)) => attempt,
            Some(_) = group.await_other_primary(term, left) => RecordedAttempt::PrimaryFailed,
        }
    }

    async fn try_recorded(
        &mut self,
        recorded: &RecordedRun<'_>,
        lease: TargetLease,
        attempt_limits: (LeaderTerm, Duration),
    ) -> RecordedAttempt {
        let attempt = self.attempt(recorded, lease, attempt_limits).await;
        match attempt {
            Ok(attempt) => attempt,
            Err(RecordedError::Relay(RelayError::Caller(error))) => {
                RecordedAttempt::Ended(RequestEnd::CallerDisconnected(error))
            }
            Err(RecordedError::Relay(error @ RelayError::HeldLimitExceeded { .. })) => {
                RecordedAttempt::Ended(RequestEnd::Failed(ErrorReply::new(
                    "54000",
                    error.to_string(),
                )))
            }
            Err(_) => RecordedAttempt::PrimaryFailed,
        }
    }

    async fn attempt(
        &mut self,
        recorded: &RecordedRun<'_>,
        mut lease: TargetLease,
        (term, max_wait): (LeaderTerm, Duration),
    ) -> Result<RecordedAttempt, RecordedError> {
        lease.connection().queue_query("BEGIN")?;
        lease.connection().stream().flush().await?;
        let begin_response = tokio::time::timeout(max_wait, lease.connection().read_response());
        let begun = begin_response
            .await
            .map_err(|_| ConnectionError::TimedOut)??;
        if let Some(error) = error_of(&begun) {
            return Ok(RecordedAttempt::Ended(target_error(error)));
        }
        let run = self
            .run_on(&mut lease, recorded.request, HoldMode::Everything, max_wait)
            .await;
        let end = run.result?;
        if end.error.is_some() {
            return self.resolve_failed(recorded, lease, (end, term)).await;
        }
        self.commit_recorded(recorded, lease, end).await
    }
}
