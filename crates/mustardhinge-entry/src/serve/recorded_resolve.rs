use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{AckOutcome, ServerReport};
use pgwire::messages::response::{CommandComplete, TransactionStatus};

use super::recorded_run::{RecordedAttempt, RecordedError, RecordedRun};
use super::reply_writer::{encode_replies, local_response};
use super::run_context::RunContext;
use super::{CallerSession, CallerStream, RequestEnd};
use crate::group::first_row;
use crate::request::ReplyEnd;
use crate::target::{ConnectionError, TargetLease};
use crate::wire::{ErrorReply, FrameError, WireFrame, tags};

/// SQLSTATE of a request id that was already used for another statement.
const REUSED_ID_SQLSTATE: &str = "23505";

/// SQLSTATE of a unique constraint violation.
const UNIQUE_SQLSTATE: &str = "23505";

/// SQLSTATE of a write on a read-only server.
const READ_ONLY_SQLSTATE: &str = "25006";

impl<S: CallerStream> CallerSession<S> {
    /// Handles a statement that failed.
    ///
    /// If the request is recorded, it ran before and its recorded response is
    /// replayed. Otherwise the error is final.
    pub(super) async fn resolve_failed(
        &mut self,
        recorded: &RecordedRun<'_>,
        mut lease: TargetLease,
        (end, term): (ReplyEnd, LeaderTerm),
    ) -> Result<RecordedAttempt, RecordedError> {
        let max_wait = recorded.context.time_left(self.shared.now());
        lease
            .connection()
            .run_proxy_statement("ROLLBACK", max_wait)
            .await?;
        if end.error_code()?.as_deref() == Some(READ_ONLY_SQLSTATE) {
            lease.release(self.shared.now());
            return Ok(RecordedAttempt::NotPrimary(term));
        }
        let found = lease
            .connection()
            .run_proxy_statement(&recorded.record.lookup_statement(), max_wait)
            .await?;
        let Some(row) = first_row(&found)? else {
            lease.release(self.shared.now());
            let error = end
                .error
                .unwrap_or_else(|| unreachable!("checked by the caller"));
            return Ok(RecordedAttempt::Ended(RequestEnd::TargetError(
                end.held, error,
            )));
        };
        let missing = encode_replies(end.missing_steps, recorded.record.tag_in(&row).as_deref())?;
        let mut held = end.held;
        if recorded.request.batch.is_some() {
            held.extend(missing);
        } else {
            held = local_response(recorded.request, recorded.record.tag_in(&row).as_deref())?;
        }
        self.replay(recorded, lease, &row, held).await
    }

    /// Inserts the request record, commits and waits for the confirmation.
    pub(super) async fn commit_recorded(
        &mut self,
        recorded: &RecordedRun<'_>,
        mut lease: TargetLease,
        end: ReplyEnd,
    ) -> Result<RecordedAttempt, RecordedError> {
        let max_wait = recorded.context.time_left(self.shared.now());
        let tag = command_tag(&end.held)?;
        let connection = lease.connection();
        connection.queue_query(&recorded.record.insert_statement(&tag))?;
        let inserted = connection.run_proxy_statement("COMMIT", max_wait).await?;
        let committed = tokio::time::timeout(max_wait, connection.read_response());
        let committed = committed.await.map_err(|_| ConnectionError::TimedOut)??;
        if let Some(error) = error_of(&inserted) {
            return self.resolve_duplicate(recorded, lease, end, error).await;
        }
        if let Some(error) = error_of(&committed) {
            lease.release(self.shared.now());
            return Ok(RecordedAttempt::Ended(target_error(error)));
        }
        let position = commit_position(&inserted).or(commit_position(&committed));
        let target = lease.pool().target().clone();
        lease.release(self.shared.now());
        let confirmed = self
            .confirm(recorded.context, &target, position, end.held)
            .await;
        Ok(self.retry_unknown(recorded.context, confirmed))
    }

    /// Retries an unconfirmed write while time is left: the next primary shows
    /// whether it was committed.
    fn retry_unknown(&self, context: &RunContext, end: RequestEnd) -> RecordedAttempt {
        let has_time = self.shared.now() < context.deadline;
        match end {
            RequestEnd::Failed(_) if has_time => RecordedAttempt::PrimaryFailed,
            other => RecordedAttempt::Ended(other),
        }
    }

    /// Handles a failed insert of the record. A duplicate key means that the
    /// request ran before.
    async fn resolve_duplicate(
        &mut self,
        recorded: &RecordedRun<'_>,
        mut lease: TargetLease,
        end: ReplyEnd,
        error: WireFrame,
    ) -> Result<RecordedAttempt, RecordedError> {
        if sqlstate(&error)?.as_deref() != Some(UNIQUE_SQLSTATE) {
            lease.release(self.shared.now());
            return Ok(RecordedAttempt::Ended(target_error(error)));
        }
        let max_wait = recorded.context.time_left(self.shared.now());
        let found = lease
            .connection()
            .run_proxy_statement(&recorded.record.lookup_statement(), max_wait)
            .await?;
        let Some(row) = first_row(&found)? else {
            lease.release(self.shared.now());
            return Ok(RecordedAttempt::PrimaryFailed);
        };
        let held = replace_tag(end.held, recorded.record.tag_in(&row).as_deref())?;
        self.replay(recorded, lease, &row, held).await
    }

    /// Returns the recorded response once a majority holds the record.
    async fn replay(
        &mut self,
        recorded: &RecordedRun<'_>,
        mut lease: TargetLease,
        row: &[String],
        held: Vec<WireFrame>,
    ) -> Result<RecordedAttempt, RecordedError> {
        metrics::counter!("mustardhinge_replayed_answers_total").increment(1);
        let max_wait = recorded.context.time_left(self.shared.now());
        let response = lease
            .connection()
            .run_proxy_statement("SELECT group_report()", max_wait)
            .await?;
        let target = lease.pool().target().clone();
        lease.release(self.shared.now());
        if !recorded.record.is_same_statement(row) {
            let message = "the request id was used for another statement before";
            let reply = ErrorReply::new(REUSED_ID_SQLSTATE, message);
            return Ok(RecordedAttempt::Ended(RequestEnd::Failed(reply)));
        }
        let columns = first_row(&response)?.unwrap_or_default();
        let columns: Vec<&str> = columns.iter().map(String::as_str).collect();
        let Ok(report) = ServerReport::from_columns(&columns) else {
            return Ok(RecordedAttempt::PrimaryFailed);
        };
        let group = recorded.context.service.group();
        let outcome = group.acknowledge(target, report.last).await;
        Ok(match outcome {
            AckOutcome::Acknowledged => {
                RecordedAttempt::Ended(RequestEnd::Confirmed(held, report.last))
            }
            AckOutcome::Unknown(_) if self.shared.now() < recorded.context.deadline => {
                RecordedAttempt::PrimaryFailed
            }
            AckOutcome::Unknown(failure) => {
                let message = format!("the recorded write is not confirmed: {}", failure.label());
                RecordedAttempt::Ended(RequestEnd::unknown(&message))
            }
        })
    }
}

/// Returns the end of a request that failed with a target's error.
pub(super) fn target_error(error: WireFrame) -> RequestEnd {
    RequestEnd::TargetError(Vec::new(), error)
}

/// Returns the ErrorResponse among the frames of a response, if there is one.
pub(super) fn error_of(frames: &[WireFrame]) -> Option<WireFrame> {
    let mut frames = frames.iter();
    frames
        .find(|frame| frame.tag() == tags::ERROR_RESPONSE)
        .cloned()
}

fn sqlstate(error: &WireFrame) -> Result<Option<String>, FrameError> {
    let end = ReplyEnd {
        status: TransactionStatus::Idle,
        position: None,
        error: Some(error.clone()),
        held: Vec::new(),
        missing_steps: std::collections::VecDeque::new(),
    };
    end.error_code()
}

/// Returns the log position of a commit from the frames of its response.
fn commit_position(frames: &[WireFrame]) -> Option<LogPosition> {
    let statuses = frames
        .iter()
        .filter(|frame| frame.tag() == tags::PARAMETER_STATUS);
    let mut positions = statuses.filter_map(crate::request::position_in);
    positions.next()
}

fn command_tag(frames: &[WireFrame]) -> Result<String, FrameError> {
    let completion = frames
        .iter()
        .rfind(|frame| frame.tag() == tags::COMMAND_COMPLETE);
    match completion {
        Some(frame) => Ok(frame.decode::<CommandComplete>()?.tag),
        None => Ok(String::new()),
    }
}

fn replace_tag(frames: Vec<WireFrame>, tag: Option<&str>) -> Result<Vec<WireFrame>, FrameError> {
    let replace = |frame: WireFrame| match (frame.tag(), tag) {
        (tags::COMMAND_COMPLETE, Some(tag)) => {
            WireFrame::encode(&CommandComplete::new(tag.to_owned()))
        }
        _ => Ok(frame),
    };
    frames.into_iter().map(replace).collect()
}
