use std::collections::BTreeSet;

use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{FloorHistory, GroupView};

/// Snapshot of the state of a group, used for routing by the traffic threads.
#[derive(Clone, Debug)]
pub struct GroupSnapshot {
    /// Newest report of each server.
    pub view: GroupView,
    /// Recent read floors.
    pub history: FloorHistory,
    /// Targets that did not respond to the last report request.
    pub unresponsive: BTreeSet<TargetId>,
}

impl GroupSnapshot {
    /// Returns the current primary and its term, if the primary responds.
    #[must_use]
    pub fn writable_primary(&self) -> Option<(TargetId, LeaderTerm)> {
        let report = &self.view.primary()?.report;
        let is_current = !self.view.is_superseded(report.term);
        let is_responsive = !self.unresponsive.contains(&report.target);
        (is_current && is_responsive).then(|| (report.target.clone(), report.term))
    }
}
