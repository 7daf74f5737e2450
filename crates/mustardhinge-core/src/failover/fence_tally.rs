use std::collections::{BTreeMap, BTreeSet};

use crate::ids::TargetId;
use crate::replication::{GroupMembers, ServerReport};
use crate::units::{LeaderTerm, LogPosition};

/// The servers' responses to the fence of one term.
#[derive(Clone, Debug)]
pub struct FenceTally {
    term: LeaderTerm,
    members: GroupMembers,
    granted: BTreeMap<TargetId, LogPosition>,
    denied: BTreeSet<TargetId>,
}

impl FenceTally {
    /// Creates a tally without responses.
    #[must_use]
    pub fn new(term: LeaderTerm, members: GroupMembers) -> Self {
        Self {
            term,
            members,
            granted: BTreeMap::new(),
            denied: BTreeSet::new(),
        }
    }

    /// Records a server's response; the first response of each kind is kept.
    ///
    /// A grant with log entries of the term itself is not counted: the server
    /// has already accepted entries in that term.
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

    /// Returns whether too many servers have denied the term for a majority to
    /// grant it.
    #[must_use]
    pub fn is_denied(&self) -> bool {
        let denied = self.denied.iter();
        let denied = denied.filter(|target| !self.granted.contains_key(*target));
        self.members.count() - denied.count() < self.members.majority()
    }

    /// Iterates over the servers that have not responded.
    pub fn unanswered(&self) -> impl Iterator<Item = &TargetId> {
        self.members
            .iter()
            .filter(|target| !self.granted.contains_key(*target) && !self.denied.contains(*target))
    }

    /// Returns whether a server may be promoted: a majority has granted the
    /// term with logs that end at or before the server's last position.
    ///
    /// That majority shares a server with the majority that holds an
    /// acknowledged write, so the write is in the candidate's log.
    #[must_use]
    pub fn is_safe(&self, target: &TargetId) -> bool {
        let Some(last) = self.granted.get(target) else {
            return false;
        };
        let behind = self.granted.values().filter(|other| *other <= last);
        behind.count() >= self.members.majority()
    }

    /// Returns the server to promote: the preferred one if it is safe, else the
    /// safe server with the greatest position.
    ///
    /// Avoided servers are chosen only if no other server is safe.
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
