use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::WorkKind;
use mustardhinge_core::session::ReadRequirement;
use pgwire::messages::response::TransactionStatus;

use super::reply_writer::local_response;
use super::run_context::RunContext;
use super::write_path::NO_PRIMARY_RETRY;
use super::{CallerSession, CallerStream, CallerTransaction, RequestEnd};
use crate::request::{CallerRequest, HoldMode, RelayError, ReplyEnd};
use crate::statement::StatementKind;
use crate::target::TargetLease;
use crate::wire::ErrorReply;

/// SQLSTATE of a statement in a transaction that has failed.
const FAILED_TRANSACTION_SQLSTATE: &str = "25P02";

/// SQLSTATE of a transaction that was lost before its COMMIT was sent; clients
/// may retry the transaction.
const LOST_TRANSACTION_SQLSTATE: &str = "40001";

/// SQLSTATE of a statement that requires a transaction.
const NO_TRANSACTION_SQLSTATE: &str = "25P01";

impl<S: CallerStream> CallerSession<S> {
    /// Opens a transaction on a dedicated connection to the primary.
    pub(super) async fn begin(
        &mut self,
        request: &CallerRequest,
        context: &RunContext,
    ) -> RequestEnd {
        let (mut lease, _term) = match self.acquire_primary(context, WorkKind::Begin, None).await {
            Ok(found) => found,
            Err(refused) => return refused,
        };
        let ready = self.wait_for_own_writes(context, &lease).await;
        if let Err(refused) = ready.and_then(|()| self.recheck(request)) {
            lease.release(self.shared.now());
            return refused;
        }
        let max_wait = context.time_left(self.shared.now());
        let run = self
            .run_on(&mut lease, request, HoldMode::Nothing, max_wait)
            .await;
        match run.result {
            Ok(end) => self.keep_transaction(context, lease, end).await,
            Err(RelayError::Caller(error)) => RequestEnd::CallerDisconnected(error),
            Err(_) => lost_transaction(),
        }
    }

    /// Waits until the primary has applied the session's read floor.
    async fn wait_for_own_writes(
        &self,
        context: &RunContext,
        lease: &TargetLease,
    ) -> Result<(), RequestEnd> {
        let group = context.service.group();
        let floor = match self.floor.requirement(None) {
            ReadRequirement::Floor(floor) => floor,
            _ => group
                .floor()
                .await
                .ok_or_else(super::write_path::no_primary)?,
        };
        let now = self.shared.now();
        let target = lease.pool().target();
        let left = context.time_left(now);
        let has_floor = || {
            let snapshot = group.snapshot();
            let report = snapshot.view.report(target);
            report.is_some_and(|timed| timed.report.applied >= floor)
        };
        if !has_floor() {
            group
                .await_applied(target, floor, context.deadline, left)
                .await;
        }
        if has_floor() {
            return Ok(());
        }
        let message = "the primary does not hold the session's own writes";
        let reason = RefusalReason::FloorNotReached;
        Err(RequestEnd::refused(reason, Some(NO_PRIMARY_RETRY), message))
    }

    /// Runs a request inside the open transaction.
    pub(super) async fn run_inside(&mut self, request: &CallerRequest) -> RequestEnd {
        match std::mem::take(&mut self.transaction) {
            CallerTransaction::Open(lease) | CallerTransaction::Failed(lease) => {
                self.run_on_transaction(request, *lease).await
            }
            CallerTransaction::Lost => self.run_lost(request),
            CallerTransaction::Idle => RequestEnd::Failed(ErrorReply::new(
                NO_TRANSACTION_SQLSTATE,
                "there is no transaction in progress",
            )),
        }
    }

    async fn run_on_transaction(
        &mut self,
        request: &CallerRequest,
        mut lease: TargetLease,
    ) -> RequestEnd {
        let context = match self.admit_in_transaction(request) {
            Ok(context) => context,
            Err(refused) => {
                self.transaction = CallerTransaction::Lost;
                return refused;
            }
        };
        let is_commit = request.kind == StatementKind::Commit;
        let mode = if is_commit {
            HoldMode::Everything
        } else {
            HoldMode::Nothing
        };
        let max_wait = context.time_left(self.shared.now());
        let run = self.run_on(&mut lease, request, mode, max_wait).await;
        match run.result {
            Ok(end) => self.keep_transaction(&context, lease, end).await,
            Err(RelayError::Caller(error)) => RequestEnd::CallerDisconnected(error),
            Err(error) if is_commit => RequestEnd::unknown(&error.to_string()),
            Err(_) => {
                self.transaction = CallerTransaction::Lost;
                lost_transaction()
            }
        }
    }

    /// Keeps the lease while the transaction is open and releases it afterwards.
    async fn keep_transaction(
        &mut self,
        context: &RunContext,
        lease: TargetLease,
        end: ReplyEnd,
    ) -> RequestEnd {
        let target = lease.pool().target().clone();
        match end.status {
            TransactionStatus::Transaction => {
                self.transaction = CallerTransaction::Open(Box::new(lease));
            }
            TransactionStatus::Error => {
                self.transaction = CallerTransaction::Failed(Box::new(lease));
            }
            TransactionStatus::Idle => lease.release(self.shared.now()),
        }
        match (end.error, end.position) {
            (Some(error), _) => RequestEnd::TargetError(end.held, error),
            (None, None) => RequestEnd::Responded(end.held),
            (None, position) => self.confirm(context, &target, position, end.held).await,
        }
    }

    /// Handles a request in a transaction whose connection was lost.
    fn run_lost(&mut self, request: &CallerRequest) -> RequestEnd {
        if matches!(
            request.kind,
            StatementKind::Commit | StatementKind::Rollback
        ) {
            return match local_response(request, Some("ROLLBACK")) {
                Ok(frames) => RequestEnd::Responded(frames),
                Err(error) => RequestEnd::CallerDisconnected(error),
            };
        }
        self.transaction = CallerTransaction::Lost;
        RequestEnd::Failed(ErrorReply::new(
            FAILED_TRANSACTION_SQLSTATE,
            "the transaction was lost; statements are ignored until its end",
        ))
    }
}

fn lost_transaction() -> RequestEnd {
    RequestEnd::Failed(ErrorReply::new(
        LOST_TRANSACTION_SQLSTATE,
        "the connection to the target was lost; nothing of the transaction was kept",
    ))
}

/// Returns the end of a statement that requires a transaction when none is open.
pub(super) fn needs_transaction() -> RequestEnd {
    RequestEnd::Failed(ErrorReply::new(
        NO_TRANSACTION_SQLSTATE,
        "the statement is only allowed inside a transaction",
    ))
}
