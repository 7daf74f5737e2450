use std::collections::BTreeMap;

use mustardhinge_core::prelude::*;

use super::model_group::ModelEntry;

/// Holds the rules against what happens, and collects what violates them.
#[derive(Debug, Default)]
pub(crate) struct RuleChecker {
    acked: Vec<(LogPosition, ModelEntry)>,
    seen: Vec<ModelEntry>,
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
        let is_undone = |entry: &&ModelEntry| entry.term < term && !log.contains(entry);
        if self.seen.iter().any(|entry| is_undone(&entry)) {
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

    /// Gives a read's answer out: its rows have to last.
    pub(crate) fn release_read(&mut self, rows: Vec<ModelEntry>) {
        let fresh = rows.into_iter().filter(|entry| !self.seen.contains(entry));
        let fresh: Vec<_> = fresh.collect();
        for (term, (_, log)) in &self.promoted {
            let lost = fresh
                .iter()
                .find(|entry| entry.term < *term && !log.contains(entry));
            if lost.is_some() {
                self.violations
                    .push(format!("a row was undone: term {term} lacks it"));
            }
        }
        self.seen.extend(fresh);
    }
}
