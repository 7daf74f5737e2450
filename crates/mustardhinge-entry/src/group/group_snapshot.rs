use std::collections::BTreeSet;

use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{FloorHistory, GroupView};

/// What is known of a group at one moment, for the threads that route.
#[derive(Clone, Debug)]
pub struct GroupSnapshot {
    /// The newest reports.
    pub view: GroupView,
    /// The floors of the last moments.
    pub history: FloorHistory,
    /// The targets that did not answer the last call.
    pub silent: BTreeSet<TargetId>,
}

impl GroupSnapshot {
    /// Returns the current primary and its term, if it answers.
    #[must_use]
    pub fn writable_primary(&self) -> Option<(TargetId, LeaderTerm)> {
        let report = &self.view.primary()?.report;
        let is_current = !self.view.is_superseded(report.term);
        let answers = !self.silent.contains(&report.target);
        (is_current && answers).then(|| (report.target.clone(), report.term))
    }
}
