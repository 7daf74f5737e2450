use std::collections::BTreeSet;

use super::AckKey;

/// The log offset of each server in one term, and the pending waits of that
/// term.
#[derive(Clone, Debug)]
pub(super) struct TermProgress {
    held: Vec<u64>,
    pending: BTreeSet<(u64, AckKey)>,
}

impl TermProgress {
    /// Creates the progress of a term in which no server holds an entry.
    pub(super) fn new(servers: usize) -> Self {
        Self {
            held: vec![0; servers],
            pending: BTreeSet::new(),
        }
    }

    /// Records that a server holds the term's entries up to `offset`.
    pub(super) fn advance(&mut self, index: usize, offset: u64) {
        self.held[index] = self.held[index].max(offset);
    }

    /// Returns the offset up to which a server holds the term's entries.
    pub(super) fn held(&self, index: usize) -> u64 {
        self.held[index]
    }

    /// Returns the greatest offset that at least `majority` servers hold.
    pub(super) fn majority_offset(&self, majority: usize) -> u64 {
        let mut held = self.held.clone();
        held.sort_unstable_by(|a, b| b.cmp(a));
        held.get(majority - 1).copied().unwrap_or(0)
    }

    /// Adds a pending wait.
    pub(super) fn insert_pending(&mut self, offset: u64, key: AckKey) {
        self.pending.insert((offset, key));
    }

    /// Removes a pending wait.
    pub(super) fn remove_pending(&mut self, offset: u64, key: AckKey) {
        self.pending.remove(&(offset, key));
    }

    /// Removes and returns the pending waits at or before `offset`.
    pub(super) fn drain_up_to(&mut self, offset: u64) -> Vec<AckKey> {
        let mut taken = Vec::new();
        while let Some(&(first, key)) = self.pending.first() {
            if first > offset {
                break;
            }
            self.pending.pop_first();
            taken.push(key);
        }
        taken
    }

    /// Returns the offset up to which a majority can still hold the entries.
    ///
    /// `left` contains for each server whether it has left the term.
    pub(super) fn reachable_offset(&self, majority: usize, left: &[bool]) -> u64 {
        let offsets = self.held.iter().zip(left);
        let offsets = offsets.map(|(&held, &left)| if left { held } else { u64::MAX });
        let mut offsets: Vec<_> = offsets.collect();
        offsets.sort_unstable_by(|a, b| b.cmp(a));
        offsets.get(majority - 1).copied().unwrap_or(0)
    }

    /// Removes and returns the pending waits past `offset`.
    pub(super) fn drain_after(&mut self, offset: u64) -> Vec<AckKey> {
        if offset == u64::MAX {
            return Vec::new();
        }
        let is_after = |&(pending, _): &(u64, AckKey)| pending > offset;
        let keys = self.pending.iter().filter(|entry| is_after(entry));
        let keys: Vec<_> = keys.map(|&(_, key)| key).collect();
        self.pending.retain(|entry| !is_after(entry));
        keys
    }

    /// Returns the smallest pending offset past `held`.
    pub(super) fn next_pending_after(&self, held: u64) -> Option<u64> {
        let offsets = self.pending.iter().map(|&(offset, _)| offset);
        offsets.into_iter().find(|&offset| offset > held)
    }

    /// Returns whether no wait is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
