use std::collections::{BTreeMap, BTreeSet};

use crate::ids::TargetId;
use crate::replication::{GroupMembers, ServerReport};
use crate::units::{LeaderTerm, LogPosition};

/// The servers' answers to the fence of one term.
#[derive(Clone, Debug)]
pub struct FenceTally {
    term: LeaderTerm,
    members: GroupMembers,
    granted: BTreeMap<TargetId, LogPosition>,
    denied: BTreeSet<TargetId>,
}

impl FenceTally {
    /// Makes a tally without answers.
    #[must_use]
    pub fn new(term: LeaderTerm, members: GroupMembers) -> Self {
        Self {
            term,
            members,
            granted: BTreeMap::new(),
            denied: BTreeSet::new(),
        }
    }

    /// Takes in a server's answer; the first one of each kind stands.
    ///
    /// A grant with entries of the term itself comes from a server that has
    /// gone on in it, and is not counted.
    pub fn record(&mut self, report: &ServerReport, granted: bool) {
        let target = &report.target;
        if !self.members.contains(target) {
            return;
        }
        if !granted {
            self.denied.insert(target.clone());
        } else if report.last.term < self.term && report.term == self.term {
            self.granted.entry(target.clone()).or_insert(report.last);
        }
    }

    /// Returns whether a majority has granted the term.
    #[must_use]
    pub fn is_granted(&self) -> bool {
        self.granted.len() >= self.members.majority()
    }

    /// Returns whether so many servers have denied the term that no majority
    /// can grant it.
    #[must_use]
    pub fn is_denied(&self) -> bool {
        let denied = self.denied.iter();
        let denied = denied.filter(|target| !self.granted.contains_key(*target));
        self.members.count() - denied.count() < self.members.majority()
    }

    /// Iterates over the servers that have not answered.
    pub fn unanswered(&self) -> impl Iterator<Item = &TargetId> {
        self.members
            .iter()
            .filter(|target| !self.granted.contains_key(*target) && !self.denied.contains(*target))
    }

    /// Returns whether a server may be promoted: of the servers that granted
    /// the term, a majority holds nothing past its last position.
    ///
    /// That majority and the one that held an acknowledged write share a
    /// server, so the write is in the candidate's log.
    #[must_use]
    pub fn is_safe(&self, target: &TargetId) -> bool {
        let Some(last) = self.granted.get(target) else {
            return false;
        };
        let behind = self.granted.values().filter(|other| *other <= last);
        behind.count() >= self.members.majority()
    }

    /// Returns the server to promote: the preferred one if that is safe, else
    /// the safe one with the greatest position, if possible not an avoided
    /// one.
    #[must_use]
    pub fn choose(&self, preferred: Option<&TargetId>, avoided: &[TargetId]) -> Option<&TargetId> {
        if let Some(target) = preferred.filter(|target| self.is_safe(target)) {
            return self.granted.get_key_value(target).map(|(target, _)| target);
        }
        let safe = self.granted.iter();
        let safe = safe.filter(|(target, _)| self.is_safe(target));
        let best = safe.max_by_key(|(target, last)| (!avoided.contains(target), **last));
        best.map(|(target, _)| target)
    }
}
