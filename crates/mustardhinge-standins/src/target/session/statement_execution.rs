use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use mustardhinge_core::prelude::{LeaderTerm, LogPosition};
use tokio::sync::OwnedSemaphorePermit;

use super::reply_rows::ReplyRows;
use super::statement_reply::StatementReply;
use super::transaction_runner::TransactionRunner;
use crate::target::member::{GroupMember, MemberReport, PrimaryLink, SqlError};
use crate::target::statement::{CallFunction, SqlStatement, TextOperand};
use crate::target::storage::{LockOutcome, RowChange, RowKey};

impl TransactionRunner {
    /// Runs a statement that does not end or begin a transaction.
    pub(super) async fn execute(
        &mut self,
        statement: &SqlStatement,
        parameters: &[String],
    ) -> Result<StatementReply, SqlError> {
        let slot = if statement.is_slot_free() {
            None
        } else {
            Some(self.acquire_slot().await)
        };
        self.spend_statement_time(statement).await;
        match statement {
            SqlStatement::SelectLiteral(operand) => {
                let text = resolve(operand, parameters)?;
                Ok(StatementReply::rows(vec![vec![text]]))
            }
            SqlStatement::SelectRows {
                columns,
                table,
                key,
            } => {
                let key = key.as_ref().map(|key| resolve(key, parameters));
                Ok(self.select_rows(columns, table, key.transpose()?))
            }
            SqlStatement::Call {
                function,
                arguments,
            } => {
                let arguments = arguments.iter().map(|text| resolve(text, parameters));
                let arguments: Vec<_> = arguments.collect::<Result<_, _>>()?;
                self.call(*function, &arguments).await
            }
            SqlStatement::Insert { table, key, .. }
            | SqlStatement::Update { table, key, .. }
            | SqlStatement::Delete { table, key } => {
                let row = RowKey {
                    table: table.clone(),
                    key: resolve(key, parameters)?,
                };
                self.lock_row(&row, slot).await?;
                self.write(statement, row, parameters)
            }
            _ => Ok(StatementReply::command("DISCARD ALL")),
        }
    }

    async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        // The semaphore is never closed, so that this can't fail.
        self.shared.slots.clone().acquire_owned().await.ok()
    }

    /// Spends the time of the statement itself and of the fault switch.
    async fn spend_statement_time(&self, statement: &SqlStatement) {
        let slow_ms = self.shared.faults.borrow().slow_ms;
        let mut time = Duration::from_millis(slow_ms.into());
        if !statement.is_slot_free() {
            time += self.shared.settings.statement_time;
        }
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
    }

    /// Locks a row of the primary; waits without a slot while it is taken.
    async fn lock_row(
        &mut self,
        row: &RowKey,
        slot: Option<Option<OwnedSemaphorePermit>>,
    ) -> Result<(), SqlError> {
        let mut slot = slot.flatten();
        let mut progress = self.shared.progress();
        loop {
            self.shared.wait_thawed().await;
            progress.mark_unchanged();
            let number = self.number;
            let (term, outcome) = self.shared.change_quietly(|member| {
                let term = member.writable_term()?;
                Ok((term, member.locks.try_lock(row, number)))
            })?;
            match outcome {
                LockOutcome::Held => {
                    self.open_transaction().write_term.get_or_insert(term);
                    return Ok(());
                }
                LockOutcome::Deadlock => return Err(SqlError::Deadlock),
                LockOutcome::Busy => drop(slot.take()),
            }
            // The sender lives as long as this target, so that waiting can't fail.
            let _ = progress.changed().await;
            slot = self.acquire_slot().await;
        }
    }

    fn write(
        &mut self,
        statement: &SqlStatement,
        row: RowKey,
        parameters: &[String],
    ) -> Result<StatementReply, SqlError> {
        let is_present = self.value_of(&row).is_some();
        let (value, tag) = match statement {
            SqlStatement::Insert { skip_present, .. } if is_present => {
                return if *skip_present {
                    Ok(StatementReply::command("INSERT 0 0"))
                } else {
                    Err(SqlError::DuplicateKey { key: row.key })
                };
            }
            SqlStatement::Insert { value, .. } => (Some(value), "INSERT 0 1"),
            SqlStatement::Update { .. } if !is_present => {
                return Ok(StatementReply::command("UPDATE 0"));
            }
            SqlStatement::Update { value, .. } => (Some(value), "UPDATE 1"),
            _ if !is_present => return Ok(StatementReply::command("DELETE 0")),
            _ => (None, "DELETE 1"),
        };
        let value = value.map(|value| resolve(value, parameters)).transpose()?;
        let changes = &mut self.open_transaction().changes;
        changes.push(RowChange { row, value });
        Ok(StatementReply::command(tag))
    }

    /// Returns the value of a row as this transaction sees it.
    fn value_of(&mut self, row: &RowKey) -> Option<String> {
        if let Some(change) = self.open_transaction().change_of(row) {
            return change.value.clone();
        }
        self.shared.read(|member| member.tables().get(row).cloned())
    }

    fn select_rows(
        &mut self,
        columns: &[String],
        table: &str,
        key: Option<String>,
    ) -> StatementReply {
        let found = match key {
            Some(key) => {
                let table = table.to_owned();
                let row = RowKey { table, key };
                let value = self.value_of(&row);
                value.map(|value| (row.key, value)).into_iter().collect()
            }
            None => self.table(table),
        };
        let project = |(key, value): (String, String)| {
            let pick = |column: &String| {
                if column == "k" {
                    key.clone()
                } else {
                    value.clone()
                }
            };
            columns.iter().map(pick).collect()
        };
        StatementReply::rows(found.into_iter().map(project).collect())
    }

    /// Returns a table as this transaction sees it.
    fn table(&mut self, name: &str) -> BTreeMap<String, String> {
        let mut rows = self.shared.read(|member| member.tables().table(name));
        let changes = self.open_transaction().changes.iter();
        for change in changes.filter(|change| change.row.table == name) {
            let key = &change.row.key;
            match &change.value {
                Some(value) => rows.insert(key.clone(), value.clone()),
                None => rows.remove(key),
            };
        }
        rows
    }

    async fn call(
        &self,
        function: CallFunction,
        arguments: &[String],
    ) -> Result<StatementReply, SqlError> {
        match function {
            CallFunction::Sleep => {
                let seconds: f64 = parse_argument(arguments, 0)?;
                let time = Duration::try_from_secs_f64(seconds);
                tokio::time::sleep(time.map_err(|_| SqlError::BadArgument { number: 1 })?).await;
                Ok(StatementReply::rows(vec![vec![String::new()]]))
            }
            CallFunction::Filler => {
                let rows = parse_argument(arguments, 0)?;
                let row_bytes = parse_argument(arguments, 1)?;
                let mut reply = StatementReply::command(&format!("SELECT {rows}"));
                reply.rows = ReplyRows::Filler { rows, row_bytes };
                Ok(reply)
            }
            CallFunction::Report => {
                let report = self.shared.read(GroupMember::report);
                Ok(StatementReply::rows(vec![report.to_row()]))
            }
            CallFunction::Wait => {
                let position = parse_argument(arguments, 0)?;
                let timeout_ms = parse_argument(arguments, 1)?;
                let timeout = Duration::from_millis(timeout_ms);
                let report = self.wait_for_position(position, timeout).await;
                Ok(StatementReply::rows(vec![report.to_row()]))
            }
            CallFunction::Fence => {
                let term = parse_argument(arguments, 0)?;
                let claimant: String = parse_argument(arguments, 1)?;
                Ok(self.change_group(|member| member.fence(term, &claimant)))
            }
            CallFunction::Promote => {
                let term = parse_argument(arguments, 0)?;
                let claimant: String = parse_argument(arguments, 1)?;
                Ok(self.change_group(|member| member.promote(term, &claimant)))
            }
            CallFunction::Follow => {
                let link = PrimaryLink {
                    term: parse_argument::<LeaderTerm>(arguments, 0)?,
                    name: parse_argument(arguments, 1)?,
                    address: parse_argument(arguments, 2)?,
                };
                Ok(self.change_group(|member| member.follow(link)))
            }
        }
    }

    async fn wait_for_position(&self, position: LogPosition, timeout: Duration) -> MemberReport {
        let mut progress = self.shared.progress();
        let is_over =
            |report: &MemberReport| report.has_reached(position) || report.term > position.term;
        let wait = async {
            while !is_over(&self.shared.read(GroupMember::report)) {
                if progress.changed().await.is_err() {
                    return;
                }
            }
        };
        // The report tells whether the position was reached.
        let _ = tokio::time::timeout(timeout, wait).await;
        self.shared.read(GroupMember::report)
    }

    fn change_group(&self, change: impl FnOnce(&mut GroupMember) -> bool) -> StatementReply {
        let (is_granted, report) = self.shared.change(|member| {
            let is_granted = change(member);
            (is_granted, member.report())
        });
        let mut row = report.to_row();
        row.push(if is_granted { "t" } else { "f" }.to_owned());
        StatementReply {
            is_group_change: true,
            ..StatementReply::rows(vec![row])
        }
    }
}

fn resolve(operand: &TextOperand, parameters: &[String]) -> Result<String, SqlError> {
    let number = operand.parameter_number();
    let text = operand.resolve(parameters);
    text.ok_or(SqlError::BadArgument { number })
}

fn parse_argument<T: FromStr>(arguments: &[String], index: usize) -> Result<T, SqlError> {
    let number = index + 1;
    let text = arguments.get(index);
    text.and_then(|text| text.parse().ok())
        .ok_or(SqlError::BadArgument { number })
}
