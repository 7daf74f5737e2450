//! The list of targets as instances pass it on to each other.

use std::collections::HashSet;

use mustardhinge_core::membership::{ListChanges, ListUpdate, ListVersion};
use mustardhinge_core::prelude::TargetId;
use mustardhinge_core::primary_lease::RecordRevision;

use super::NodeState;
use super::cold_targets::EntrySource;
use crate::plan::TargetEntry;

impl NodeState {
    /// Returns the version of the list of targets.
    #[must_use]
    pub fn list_version(&self) -> ListVersion {
        let digest = self.targets_digest();
        digest.in_era(self.targets_revision().era())
    }

    /// Returns whether to request the changes of the list instead of the whole list.
    #[must_use]
    pub fn accepts_list_changes(&self) -> bool {
        ListChanges::are_worthwhile(self.count_targets())
    }

    /// Returns what an instance with the version `known` of the list needs.
    #[must_use]
    pub fn list_update_since(&self, known: &ListVersion) -> ListUpdate {
        // The digest completes the present version.
        let _ = self.targets_digest();
        let changes = self.list_changes.borrow();
        changes.update_since(known, self.count_targets())
    }

    /// Returns the entries of those targets that are listed, and the names of the others.
    #[must_use]
    pub fn changed_targets(&self, names: &[TargetId]) -> (Vec<TargetEntry>, Vec<TargetId>) {
        let mut entries = Vec::new();
        let mut removed = Vec::new();
        for name in names {
            match self.find_target(name) {
                Some(handle) => entries.push(self.relayed_entry(&handle)),
                None => removed.push(name.clone()),
            }
        }
        (entries, removed)
    }

    /// Replaces the list of targets unless the given one is older.
    pub fn adopt_targets(&self, entries: Vec<TargetEntry>, revision: RecordRevision) {
        let listed: HashSet<_> = entries.iter().map(|entry| entry.target.clone()).collect();
        let known = self.target_list().0.into_iter().map(|entry| entry.target);
        let removed: Vec<_> = known.filter(|known| !listed.contains(known)).collect();
        self.adopt_target_changes(entries, &removed, revision);
    }

    /// Applies changed entries and removals to the list of targets, unless they are older than it.
    pub fn adopt_target_changes(
        &self,
        entries: Vec<TargetEntry>,
        removed: &[TargetId],
        revision: RecordRevision,
    ) {
        if revision < self.targets_revision() {
            return;
        }
        self.advance_targets_revision(revision);
        for target in removed {
            self.record_missing(target, revision.era());
            self.remove_target(target);
        }
        for entry in entries {
            self.apply_listed(entry, revision.era(), EntrySource::Relay);
        }
    }
}
