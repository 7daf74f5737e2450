use std::collections::BTreeMap;

use mustardhinge_core::prelude::*;

use super::model_group::ModelEntry;

/// Holds the rules against what happens, and collects what violates them.
#[derive(Debug, Default)]
pub(crate) struct RuleChecker {
    acked: Vec<(LogPosition, ModelEntry)>,
    seen: Vec<(LeaderTerm, ModelEntry)>,
    promoted: BTreeMap<LeaderTerm, (usize, Vec<ModelEntry>)>,
    violations: Vec<String>,
}

impl RuleChecker {
    /// Returns the numbers of acknowledged writes and promotions, or all that
    /// was violated.
    pub(crate) fn finish(self) -> Result<(usize, usize), Vec<String>> {
        if self.violations.is_empty() {
            return Ok((self.acked.len(), self.promoted.len()));
        }
        Err(self.violations)
    }

    pub(crate) fn violate(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Returns the number of acknowledged writes.
    pub(crate) fn acked(&self) -> usize {
        self.acked.len()
    }

    /// A server was promoted with this log: it has to hold what was
    /// acknowledged or seen before its term.
    pub(crate) fn note_promotion(&mut self, server: usize, term: LeaderTerm, log: Vec<ModelEntry>) {
        for (position, entry) in &self.acked {
            if entry.term < term && !log.contains(entry) {
                let lost = format!("{position} was lost: it is not in the log of term {term}");
                self.violations.push(lost);
            }
        }
        let mut seen = self.seen.iter();
        if seen.any(|(seen_in, entry)| *seen_in < term && !log.contains(entry)) {
            self.violations
                .push(format!("a row was undone in term {term}"));
        }
        if let Some((other, _)) = self.promoted.insert(term, (server, log)) {
            let twice = format!("{other} and {server} were promoted in term {term}");
            self.violations.push(twice);
        }
    }

    /// A write is acknowledged: all later primaries have to hold it.
    pub(crate) fn acknowledge(&mut self, position: LogPosition, entry: ModelEntry) {
        for (term, (_, log)) in &self.promoted {
            if entry.term < *term && !log.contains(&entry) {
                let late =
                    format!("{position} was lost: it was acknowledged, but term {term} lacks it");
                self.violations.push(late);
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
                let undone = format!("a row was undone: term {promoted} lacks it");
                self.violations.push(undone);
            }
        }
        for entry in rows {
            match self.seen.iter_mut().find(|(_, seen)| *seen == entry) {
                Some((seen_in, _)) => *seen_in = term.min(*seen_in),
                None => self.seen.push((term, entry)),
            }
        }
    }
}
