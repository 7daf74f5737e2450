use std::sync::{Mutex, MutexGuard, PoisonError};

use super::{RecordedOutcome, StatementRecord};

/// Every statement that reached the target, in the order of arrival.
#[derive(Debug, Default)]
pub(crate) struct StatementLog {
    records: Mutex<Vec<StatementRecord>>,
}

impl StatementLog {
    /// Adds a statement that has not run yet; returns its number.
    pub(crate) fn add(&self, connection: u64, text: &str, parameters: &[String]) -> usize {
        let mut records = self.lock();
        records.push(StatementRecord {
            connection,
            text: text.to_owned(),
            parameters: parameters.to_vec(),
            outcome: RecordedOutcome::NotRun,
        });
        records.len() - 1
    }

    /// Notes what became of statements.
    pub(crate) fn settle(&self, numbers: &[usize], outcome: &RecordedOutcome) {
        let mut records = self.lock();
        for number in numbers {
            records[*number].outcome = outcome.clone();
        }
    }

    /// Returns a copy of all records.
    pub(crate) fn records(&self) -> Vec<StatementRecord> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<StatementRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
