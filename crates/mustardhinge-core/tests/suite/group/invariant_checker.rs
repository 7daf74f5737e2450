use std::collections::BTreeMap;

use mustardhinge_core::prelude::*;

use super::model_group::ModelEntry;

/// Holds the rules against what happens, and collects what violates them.
#[derive(Debug, Default)]
pub(crate) struct InvariantChecker {
    acked: Vec<(LogPosition, ModelEntry)>,
    read_rows: Vec<(LeaderTerm, ModelEntry)>,
    promoted: BTreeMap<LeaderTerm, (usize, Vec<ModelEntry>)>,
    violations: Vec<String>,
}

impl InvariantChecker {
    /// Returns the numbers of acknowledged writes and promotions, or all that
    /// was violated.
    pub(crate) fn finish(self) -> Result<(usize, usize), Vec<String>> {
        if self.violations.is_empty() {
            return Ok((self.acked.len(), self.promoted.len()));
        }
        Err(self.violations)
    }

    pub(crate) fn record_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Returns the number of acknowledged writes.
    pub(crate) fn acked(&self) -> usize {
        self.acked.len()
    }

    /// A server was promoted with this log: it has to hold what was
    /// acknowledged or seen before its term.
    pub(crate) fn check_promotion(
        &mut self,
        server: usize,
        term: LeaderTerm,
        log: Vec<ModelEntry>,
    ) {
        for (position, entry) in &self.acked {
            if entry.term < term && !log.contains(entry) {
                let message = format!("{position} was lost: it is not in the log of term {term}");
                self.violations.push(message);
            }
        }
        let mut read_rows = self.read_rows.iter();
        if read_rows.any(|(read_in, entry)| *read_in < term && !log.contains(entry)) {
            self.violations
                .push(format!("a row was undone in term {term}"));
        }
        if let Some((other, _)) = self.promoted.insert(term, (server, log)) {
            let message = format!("{other} and {server} were promoted in term {term}");
            self.violations.push(message);
        }
    }

    /// A write is acknowledged: all later primaries have to hold it.
    pub(crate) fn acknowledge(&mut self, position: LogPosition, entry: ModelEntry) {
        for (term, (_, log)) in &self.promoted {
            if entry.term < *term && !log.contains(&entry) {
                let message =
                    format!("{position} was lost: it was acknowledged, but term {term} lacks it");
                self.violations.push(message);
            }
        }
        self.acked.push((position, entry));
    }

    /// A read after a round sees these rows: the first `bound` acknowledged
    /// writes have to be among them.
    pub(crate) fn check_rows(&mut self, rows: &[ModelEntry], bound: usize) {
        let mut acked = self.acked[..bound].iter();
        if let Some((position, _)) = acked.find(|(_, entry)| !rows.contains(entry)) {
            self.violations
                .push(format!("a read does not see {position}"));
        }
    }

    /// A read's answer goes out, after a majority had all of its rows in a term:
    /// all primaries of later terms have to hold them.
    ///
    /// A primary of a term between a row's own and this one may lack the row, as
    /// long as nothing of that term lasted.
    pub(crate) fn release_read(&mut self, term: LeaderTerm, rows: Vec<ModelEntry>) {
        let later = self.promoted.range(term.next()..);
        for (promoted, (_, log)) in later {
            if rows.iter().any(|entry| !log.contains(entry)) {
                let message = format!("a row was undone: term {promoted} lacks it");
                self.violations.push(message);
            }
        }
        for entry in rows {
            match self.read_rows.iter_mut().find(|(_, read)| *read == entry) {
                Some((read_in, _)) => *read_in = term.min(*read_in),
                None => self.read_rows.push((term, entry)),
            }
        }
    }
}
