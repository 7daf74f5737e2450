use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{ConfirmingReplicas, ServerStatus};
use crate::ids::TargetId;
use crate::units::{LogPosition, MonotonicTime};

/// Time for which a member has to be missing from the list. A server that runs is listed again within
/// one interval of its registrations, even if an outage of the store had removed it.
const MIN_ABSENCE: Duration = Duration::from_millis(1_500);

/// A member that is no longer listed and may have the only copy of a commit.
#[derive(Clone, Copy, Debug)]
struct DepartedMember {
    departed_at: MonotonicTime,
    /// A position of the primary after the departure. A replica that has received it has every commit
    /// that the member can have confirmed.
    goal: Option<LogPosition>,
}

/// The replicas that may have confirmed commits of a group's present epoch.
///
/// A replica is a member from the moment it is listed. One that leaves the list remains a member until
/// as many of the others as confirm a commit have received everything that it can have confirmed.
///
/// Failure: a replica confirmed commits and was lost. When the primary crashed later, only the replicas
/// that were still listed were asked, and one without these commits was promoted.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::prelude::{LeaderTerm, LogPosition, MonotonicTime, TargetId};
/// use mustardhinge_core::primary_lease::{ConfirmingReplicas, EpochMembers, ServerStatus};
///
/// let at = MonotonicTime::from_millis;
/// let [a, b, c] = ["a", "b", "c"].map(|name| name.parse::<TargetId>().unwrap());
/// let status = |target: &TargetId, is_primary, offset| ServerStatus {
///     target: target.clone(),
///     is_primary,
///     term: LeaderTerm::new(1),
///     received: LogPosition::new(LeaderTerm::new(1), offset),
///     is_leaving: false,
/// };
/// let mut members = EpochMembers::new([b.clone(), c.clone()]);
/// members.record_listed(&[a.clone(), b.clone()], &a, at(1_000));
/// assert!(members.has_departed());
/// let statuses = [status(&a, true, 9), status(&b, false, 9)];
/// let one = ConfirmingReplicas::new(1);
/// members.record_statuses(&statuses, LogPosition::default(), one, at(2_500));
/// assert_eq!(members.iter().collect::<Vec<_>>(), [&b]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EpochMembers {
    listed: BTreeSet<TargetId>,
    departed: BTreeMap<TargetId, DepartedMember>,
}

impl EpochMembers {
    /// Creates the members of an epoch. Whether each is still listed is learned later.
    #[must_use]
    pub fn new(members: impl IntoIterator<Item = TargetId>) -> Self {
        Self {
            listed: members.into_iter().collect(),
            departed: BTreeMap::new(),
        }
    }

    /// Records the servers that are listed at `now`. All but `primary` are members. Returns those that
    /// have left the list since the last call.
    pub fn record_listed(
        &mut self,
        servers: &[TargetId],
        primary: &TargetId,
        now: MonotonicTime,
    ) -> Vec<TargetId> {
        let replicas = servers.iter().filter(|server| *server != primary);
        for server in replicas {
            self.departed.remove(server);
            if !self.listed.contains(server) {
                self.listed.insert(server.clone());
            }
        }
        self.listed.remove(primary);
        self.departed.remove(primary);
        let is_gone = |member: &TargetId| !servers.contains(member);
        let gone: Vec<_> = self.listed.extract_if(.., |one| is_gone(one)).collect();
        for member in &gone {
            let departed = DepartedMember {
                departed_at: now,
                goal: None,
            };
            self.departed.insert(member.clone(), departed);
        }
        gone
    }

    /// Returns whether a member is no longer listed.
    #[must_use]
    pub fn has_departed(&self) -> bool {
        !self.departed.is_empty()
    }

    /// Records the status of listed servers that were asked at `asked_at`, while the primary was in use.
    /// Positions up to `observed` were reported by the primary before. Removes the departed members
    /// whose commits the others have, and returns them.
    pub fn record_statuses(
        &mut self,
        statuses: &[ServerStatus],
        observed: LogPosition,
        confirming: ConfirmingReplicas,
        asked_at: MonotonicTime,
    ) -> Vec<TargetId> {
        // A primary that was started again without its log shows nothing.
        let primary = statuses.iter().find(|status| status.is_primary);
        let position = primary.map(|status| status.received);
        let position = position.filter(|position| *position >= observed);
        let listed = &self.listed;
        let has_received = |goal: LogPosition| {
            let complete = statuses.iter().filter(|status| {
                !status.is_primary && listed.contains(&status.target) && status.received >= goal
            });
            complete.count() >= confirming.get()
        };
        let covered = self.departed.extract_if(.., |id, member| {
            if statuses.iter().any(|status| status.target == *id) {
                // It runs, and may go on to confirm commits.
                member.departed_at = asked_at;
                member.goal = None;
                return false;
            }
            if member.goal.is_none() && asked_at >= member.departed_at + MIN_ABSENCE {
                member.goal = position;
            }
            member.goal.is_some_and(has_received)
        });
        covered.map(|(member, _)| member).collect()
    }

    /// Returns the members in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &TargetId> {
        let all: BTreeSet<_> = self.listed.iter().chain(self.departed.keys()).collect();
        all.into_iter()
    }
}
