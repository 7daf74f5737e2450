use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use super::InstanceEntry;

/// The list of instances, which shows each change only after a lag.
#[derive(Debug, Default)]
pub(super) struct InstanceList {
    shown: BTreeMap<String, InstanceEntry>,
    shown_revision: u64,
    /// Changes to come: an entry, or none for an instance that has gone.
    coming: VecDeque<(Instant, String, Option<InstanceEntry>)>,
}

impl InstanceList {
    /// Notes a change that is shown from `due` on.
    pub(super) fn change(&mut self, due: Instant, instance: String, entry: Option<InstanceEntry>) {
        self.coming.push_back((due, instance, entry));
    }

    /// Shows the changes that are due, each under a revision from `next_revision`.
    pub(super) fn show_due(&mut self, now: Instant, mut next_revision: impl FnMut() -> u64) {
        while self.next_due().is_some_and(|due| due <= now) {
            let Some((_, instance, entry)) = self.coming.pop_front() else {
                return;
            };
            match entry {
                Some(entry) => self.shown.insert(instance, entry),
                None => self.shown.remove(&instance),
            };
            self.shown_revision = next_revision();
        }
    }

    /// Returns when the next change is to be shown.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.coming.front().map(|(due, _, _)| *due)
    }

    /// Returns the revision of the last change that is shown.
    pub(super) const fn revision(&self) -> u64 {
        self.shown_revision
    }

    /// Returns the entries that are shown.
    pub(super) fn entries(&self) -> Vec<InstanceEntry> {
        self.shown.values().cloned().collect()
    }
}
