use std::collections::{BTreeMap, BTreeSet};

use super::{CommitCheck, ConfirmingReplicas, ServerStatus, SuccessorChoice};
use crate::ids::TargetId;

/// The positions that the servers of a group have reported since its primary is not used any more.
///
/// Failure: the primary acknowledges a commit once one replica has received it, and crashes. That
/// replica is busy when it is asked for its position, or it leaves. If the most advanced of the other
/// replicas were promoted, the commit would be lost.
///
/// A position remains valid if its server stops responding: no commit is acknowledged to callers once
/// the primary is not used any more.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::prelude::{LeaderTerm, LogPosition, TargetId};
/// use mustardhinge_core::primary_lease::{
///     CommitCheck, ConfirmingReplicas, ServerStatus, SuccessorSearch,
/// };
///
/// let [a, b, c] = ["a", "b", "c"].map(|name| name.parse::<TargetId>().unwrap());
/// let behind = ServerStatus {
///     target: c.clone(),
///     is_primary: false,
///     term: LeaderTerm::new(1),
///     received: LogPosition::new(LeaderTerm::new(1), 4),
///     is_leaving: false,
/// };
/// let mut search = SuccessorSearch::new(Some(a.clone()));
/// search.record([a, b, c], &[behind.clone()]);
/// let confirming = ConfirmingReplicas::new(1);
/// assert_eq!(search.check(&behind, confirming), CommitCheck::Unknown(1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SuccessorSearch {
    /// The primary that acknowledged the commits, if it is known.
    primary: Option<TargetId>,
    /// The members of the epoch, and all servers that were listed since the search began.
    members: BTreeSet<TargetId>,
    known: BTreeMap<TargetId, ServerStatus>,
}

impl SuccessorSearch {
    /// Creates a search for the successor of `primary`.
    #[must_use]
    pub const fn new(primary: Option<TargetId>) -> Self {
        Self {
            primary,
            members: BTreeSet::new(),
            known: BTreeMap::new(),
        }
    }

    /// Adds the members of the primary's epoch, listed or not.
    #[must_use]
    pub fn with_members(mut self, members: impl IntoIterator<Item = TargetId>) -> Self {
        self.members.extend(members);
        self
    }

    /// Returns all servers that may have confirmed commits of the primary, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &TargetId> {
        let primary = self.primary.as_ref();
        self.members.iter().filter(move |id| Some(*id) != primary)
    }

    /// Returns the primary that acknowledged the commits, if it is known.
    #[must_use]
    pub const fn primary(&self) -> Option<&TargetId> {
        self.primary.as_ref()
    }

    /// Records the listed servers of the group, and the status of those that responded.
    pub fn record(
        &mut self,
        listed: impl IntoIterator<Item = TargetId>,
        responded: &[ServerStatus],
    ) {
        self.members.extend(listed);
        for status in responded {
            self.members.insert(status.target.clone());
            let mut status = status.clone();
            if let Some(before) = self.known.get(&status.target) {
                // A server that was started again may have lost its log.
                status.received = status.received.max(before.received);
            }
            self.known.insert(status.target.clone(), status);
        }
    }

    /// Returns whether `candidate` has every acknowledged commit.
    ///
    /// It has if it has received as much as the primary has, or if it has received at least as much as
    /// any replica that has reported its position, and the others are too few to confirm a commit.
    #[must_use]
    pub fn check(&self, candidate: &ServerStatus, confirming: ConfirmingReplicas) -> CommitCheck {
        if confirming.is_none() || self.has_all_of_primary(candidate) {
            return CommitCheck::Complete;
        }
        let is_replica = |id: &&TargetId| Some(*id) != self.primary.as_ref();
        let replicas = self.members.iter().filter(is_replica);
        let unknown = replicas.filter(|id| !self.known.contains_key(*id)).count();
        let is_ahead = |status: &ServerStatus| {
            // A former primary confirms nothing as a replica.
            is_replica(&&status.target)
                && !status.is_primary
                && status.received > candidate.received
        };
        if self.known.values().any(is_ahead) {
            CommitCheck::Behind
        } else if unknown < confirming.get() {
            CommitCheck::Complete
        } else {
            CommitCheck::Unknown(unknown)
        }
    }

    fn has_all_of_primary(&self, candidate: &ServerStatus) -> bool {
        let primary = self.primary.as_ref().and_then(|id| self.known.get(id));
        // A primary that was started again without its log is behind its replicas.
        primary.is_some_and(|primary| {
            primary.target != candidate.target && candidate.received == primary.received
        })
    }

    /// Returns the servers that have not reported their position.
    pub fn unknown(&self) -> impl Iterator<Item = &TargetId> {
        let members = self.members.iter();
        members.filter(|id| !self.known.contains_key(*id))
    }

    /// Restricts a choice among `servers` to one that has every acknowledged commit, if need be to a
    /// replica that is leaving.
    ///
    /// # Errors
    ///
    /// Returns why the choice has to wait.
    pub fn restrict(
        &self,
        choice: SuccessorChoice,
        servers: &[ServerStatus],
        confirming: ConfirmingReplicas,
    ) -> Result<SuccessorChoice, CommitCheck> {
        if confirming.is_none() || matches!(choice, SuccessorChoice::Adopt(..)) {
            return Ok(choice);
        }
        let chosen = match &choice {
            SuccessorChoice::Promote(target) => {
                servers.iter().find(|status| status.target == *target)
            }
            _ => None,
        };
        if chosen.is_some_and(|status| self.is_complete(status, confirming)) {
            return Ok(choice);
        }
        let replicas = servers.iter().filter(|status| !status.is_primary);
        let Some(newest) = replicas.max_by_key(|status| status.received) else {
            return Ok(SuccessorChoice::Wait);
        };
        match self.check(newest, confirming) {
            CommitCheck::Complete => Ok(SuccessorChoice::Promote(newest.target.clone())),
            check => Err(check),
        }
    }

    fn is_complete(&self, candidate: &ServerStatus, confirming: ConfirmingReplicas) -> bool {
        self.check(candidate, confirming) == CommitCheck::Complete
    }
}
