use mustardhinge_core::prelude::LeaderTerm;

use crate::target::storage::{RowChange, RowKey};

/// The transaction that a connection has open.
#[derive(Debug, Default)]
pub(super) struct OpenTransaction {
    /// Whether the caller opened it with BEGIN.
    pub(super) is_explicit: bool,
    /// Whether one of its statements failed.
    pub(super) is_failed: bool,
    /// The term in which it began to write.
    pub(super) write_term: Option<LeaderTerm>,
    /// What it changed so far.
    pub(super) changes: Vec<RowChange>,
    /// The numbers of its statements in the statement log.
    pub(super) records: Vec<usize>,
}

impl OpenTransaction {
    /// Returns its own change of a row, if any.
    pub(super) fn change_of(&self, row: &RowKey) -> Option<&RowChange> {
        self.changes.iter().rev().find(|change| change.row == *row)
    }
}
