use std::sync::Arc;

use mustardhinge_core::prelude::{LeaderTerm, LogPosition};
use pgwire::messages::response::TransactionStatus;
use tokio_util::sync::CancellationToken;

use super::open_transaction::OpenTransaction;
use super::statement_input::StatementInput;
use super::statement_reply::StatementReply;
use crate::target::RecordedOutcome;
use crate::target::member::SqlError;
use crate::target::statement::SqlStatement;
use crate::target::storage::RowChange;
use crate::target::target_shared::TargetShared;

/// Runs the statements of one connection, and keeps its transaction.
pub(super) struct TransactionRunner {
    pub(super) shared: Arc<TargetShared>,
    pub(super) number: u64,
    transaction: Option<OpenTransaction>,
}

impl TransactionRunner {
    pub(super) const fn new(shared: Arc<TargetShared>, number: u64) -> Self {
        Self {
            shared,
            number,
            transaction: None,
        }
    }

    /// Returns the status that ReadyForQuery tells.
    pub(super) fn status(&self) -> TransactionStatus {
        match &self.transaction {
            None => TransactionStatus::Idle,
            Some(transaction) if transaction.is_failed => TransactionStatus::Error,
            Some(_) => TransactionStatus::Transaction,
        }
    }

    /// Runs one statement. Without BEGIN, the transaction ends with the
    /// last statement of a message, or with one that fails.
    pub(super) async fn run(
        &mut self,
        input: StatementInput<'_>,
        cancel: &CancellationToken,
    ) -> Result<StatementReply, SqlError> {
        let StatementInput {
            text,
            statement,
            parameters,
            is_last,
        } = input;
        let record = self.shared.statements.add(self.number, text, parameters);
        self.open_transaction();
        let mut result = tokio::select! {
            result = self.run_statement(statement, parameters) => result,
            () = cancel.cancelled() => Err(SqlError::Cancelled),
        };
        if let Ok(reply) = &mut result {
            self.note_run(record, reply.position);
            if is_last && !self.is_explicit() {
                match self.commit() {
                    Ok(position) => reply.position = reply.position.or(position),
                    Err(error) => result = Err(error),
                }
            }
        }
        if result.is_err() {
            self.fail();
        }
        result
    }

    /// Notes a statement that is not understood.
    pub(super) fn note_malformed(&mut self, text: &str) {
        self.shared.statements.add(self.number, text, &[]);
        if self.transaction.is_some() {
            self.fail();
        }
    }

    /// Rolls back whatever is open.
    pub(super) fn rollback(&mut self) {
        let Some(transaction) = self.transaction.take() else {
            return;
        };
        if transaction.write_term.is_some() {
            let number = self.number;
            self.shared.change(|member| member.locks.release(number));
        } else {
            self.stop_waiting();
        }
        let outcome = RecordedOutcome::RolledBack;
        self.shared
            .statements
            .settle(&transaction.records, &outcome);
    }

    /// Notes that the connection waits for no lock; nobody waits to hear it.
    fn stop_waiting(&self) {
        let number = self.number;
        self.shared
            .change_quietly(|member| member.locks.stop_waiting(number));
    }

    fn is_explicit(&self) -> bool {
        let transaction = self.transaction.as_ref();
        transaction.is_some_and(|transaction| transaction.is_explicit)
    }

    /// Notes that a statement ran: in the open transaction, or as its end.
    fn note_run(&mut self, record: usize, position: Option<LogPosition>) {
        let outcome = match &mut self.transaction {
            Some(transaction) => {
                transaction.records.push(record);
                RecordedOutcome::Open
            }
            None => RecordedOutcome::Committed { position },
        };
        self.shared.statements.settle(&[record], &outcome);
    }

    fn fail(&mut self) {
        if !self.is_explicit() {
            return self.rollback();
        }
        self.stop_waiting();
        if let Some(transaction) = &mut self.transaction {
            transaction.is_failed = true;
        }
    }

    /// Ends the open transaction by committing it; returns the position if it
    /// wrote.
    fn commit(&mut self) -> Result<Option<LogPosition>, SqlError> {
        let Some(transaction) = self.transaction.take() else {
            return Ok(None);
        };
        let records = transaction.records;
        let result = match transaction.write_term {
            Some(term) => self.commit_changes(term, transaction.changes).map(Some),
            None => Ok(None),
        };
        let outcome = match &result {
            Ok(position) => RecordedOutcome::Committed {
                position: *position,
            },
            Err(_) => RecordedOutcome::RolledBack,
        };
        self.shared.statements.settle(&records, &outcome);
        result
    }

    /// Releases the locks and commits what the transaction changed since it began
    /// to write in `term`.
    fn commit_changes(
        &self,
        term: LeaderTerm,
        changes: Vec<RowChange>,
    ) -> Result<LogPosition, SqlError> {
        self.shared.change(|member| {
            member.locks.release(self.number);
            member.commit(term, changes)
        })
    }

    async fn run_statement(
        &mut self,
        statement: &SqlStatement,
        parameters: &[String],
    ) -> Result<StatementReply, SqlError> {
        self.shared.wait_thawed().await;
        match statement {
            SqlStatement::Commit => self.run_commit(),
            SqlStatement::Rollback => {
                self.rollback();
                Ok(StatementReply::command("ROLLBACK"))
            }
            _ if self.status() == TransactionStatus::Error => Err(SqlError::TransactionFailed),
            SqlStatement::Begin => {
                self.open_transaction().is_explicit = true;
                Ok(StatementReply::command("BEGIN"))
            }
            _ => self.execute(statement, parameters).await,
        }
    }

    fn run_commit(&mut self) -> Result<StatementReply, SqlError> {
        if self.status() == TransactionStatus::Error {
            self.rollback();
            return Ok(StatementReply::command("ROLLBACK"));
        }
        let position = self.commit()?;
        Ok(StatementReply {
            position,
            ..StatementReply::command("COMMIT")
        })
    }

    /// Returns the open transaction; opens one if there is none.
    pub(super) fn open_transaction(&mut self) -> &mut OpenTransaction {
        self.transaction.get_or_insert_default()
    }
}

impl Drop for TransactionRunner {
    fn drop(&mut self) {
        self.rollback();
    }
}
