use std::sync::Arc;

use mustardhinge_core::prelude::{LeaderTerm, LogPosition};

use super::{LogEntry, RowChange, TermRun};

/// The log of one target; offsets count from 1 without gaps.
#[derive(Clone, Debug, Default)]
pub struct GroupLog {
    entries: Vec<Arc<LogEntry>>,
}

impl GroupLog {
    /// Returns the position of the last entry, or zero.
    #[must_use]
    pub fn last(&self) -> LogPosition {
        self.position_at(self.len())
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there is no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the position of the entry with this number, or zero.
    #[must_use]
    pub fn position_at(&self, number: usize) -> LogPosition {
        let index = number.checked_sub(1);
        let entry = index.and_then(|index| self.entries.get(index));
        entry.map(|entry| entry.position).unwrap_or_default()
    }

    /// Returns the entries after the first `count`.
    #[must_use]
    pub fn entries_after(&self, count: usize) -> &[Arc<LogEntry>] {
        self.entries.get(count..).unwrap_or_default()
    }

    /// Appends an entry of `term`, and returns its position.
    pub fn write(&mut self, term: LeaderTerm, changes: Vec<RowChange>) -> LogPosition {
        let position = LogPosition::new(term, self.next_offset());
        self.entries.push(Arc::new(LogEntry { position, changes }));
        position
    }

    /// Appends an entry of the primary if it is the next one.
    pub fn append(&mut self, entry: LogEntry) -> bool {
        let is_next = entry.position.offset == self.next_offset();
        if is_next {
            self.entries.push(Arc::new(entry));
        }
        is_next
    }

    /// Keeps only the first `count` entries.
    pub fn truncate(&mut self, count: usize) {
        self.entries.truncate(count);
    }

    /// Returns the runs of terms, oldest first.
    #[must_use]
    pub fn term_runs(&self) -> Vec<TermRun> {
        let runs = self
            .entries
            .chunk_by(|a, b| a.position.term == b.position.term);
        runs.filter_map(|run| run.last())
            .map(|entry| TermRun {
                term: entry.position.term,
                last_offset: entry.position.offset,
            })
            .collect()
    }

    /// Returns how many first entries are the same in a log with these `runs`.
    ///
    /// Two entries with the same term and offset are the same, and so is all
    /// before them, because a term has one primary.
    #[must_use]
    pub fn common_count(&self, runs: &[TermRun]) -> usize {
        let own_runs = self.term_runs();
        let common = runs.iter().rev().find_map(|other| {
            let own = own_runs.iter().find(|own| own.term == other.term)?;
            Some(own.last_offset.min(other.last_offset))
        });
        usize::try_from(common.unwrap_or(0)).unwrap_or(usize::MAX)
    }

    fn next_offset(&self) -> u64 {
        self.last().offset + 1
    }
}
