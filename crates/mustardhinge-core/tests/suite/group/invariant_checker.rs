use std::collections::BTreeMap;

use mustardhinge_core::prelude::*;

use super::model_group::ModelEntry;

/// Checks the invariants and collects their violations.
#[derive(Debug, Default)]
pub(crate) struct InvariantChecker {
    acked: Vec<(LogPosition, ModelEntry)>,
    read_rows: Vec<(LeaderTerm, ModelEntry)>,
    promoted: BTreeMap<LeaderTerm, (usize, Vec<ModelEntry>)>,
    violations: Vec<String>,
}

impl InvariantChecker {
    /// Returns the numbers of acknowledged writes and promotions, or all
    /// violations.
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

    /// Checks that the log of a promoted server contains all writes acknowledged
    /// and all rows read in earlier terms, and that the term has one primary.
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

    /// Records an acknowledged write and checks that the logs of the primaries of
    /// later terms contain it.
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

    /// Checks that the rows of a read after a floor round include the first
    /// `bound` acknowledged writes.
    pub(crate) fn check_rows(&mut self, rows: &[ModelEntry], bound: usize) {
        let mut acked = self.acked[..bound].iter();
        if let Some((position, _)) = acked.find(|(_, entry)| !rows.contains(entry)) {
            self.violations
                .push(format!("a read does not see {position}"));
        }
    }

    /// Records the rows of a read that a majority held in `term`, and checks that
    /// the logs of the primaries of later terms contain them.
    ///
    /// A primary of a term between a row's own term and `term` may lack the row
    /// as long as no entry of its term was durable.
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
