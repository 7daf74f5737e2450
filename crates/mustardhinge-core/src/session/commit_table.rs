use super::{CommitRequirement, SessionCommit};
use crate::ids::ServiceId;
use crate::primary_lease::GroupEpoch;
use crate::units::MonotonicTime;

/// Number of services whose last commit a session keeps.
const MAX_SERVICES: usize = 4;

/// The last commit of a session at each service that it wrote to.
///
/// The oldest commits of a session that writes to many services are dropped. Reads at the other
/// services then need a position of the primary that is newer than the dropped commits.
///
/// Failure: a session kept one position, without its service. After its database had been moved to
/// another service and back, a replica that lacked the session's commit could serve its reads, or all
/// replicas refused them.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::prelude::{LeaderTerm, LogPosition, MonotonicTime};
/// use mustardhinge_core::primary_lease::GroupEpoch;
/// use mustardhinge_core::session::{CommitTable, SessionCommit};
///
/// let at = MonotonicTime::from_millis;
/// let epoch = GroupEpoch::default();
/// let position = LogPosition::new(LeaderTerm::new(1), 7);
/// let mut table = CommitTable::default();
/// table.record(SessionCommit {
///     service: "a".parse()?,
///     epoch,
///     position,
///     acknowledged_at: at(500),
/// });
/// let requirement = table.requirement(&"a".parse()?, epoch, at(100));
/// assert_eq!(requirement.position, Some(position));
/// let other = table.requirement(&"b".parse()?, epoch, at(100));
/// assert_eq!(other.position, None);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct CommitTable {
    /// Ordered by the time of the last commit.
    commits: Vec<SessionCommit>,
    /// The latest acknowledgement of a commit that was dropped.
    dropped_at: Option<MonotonicTime>,
}

impl CommitTable {
    /// Records a commit. It replaces the one before it at its service.
    pub fn record(&mut self, commit: SessionCommit) {
        self.commits.retain(|known| known.service != commit.service);
        self.commits.push(commit);
        if self.commits.len() > MAX_SERVICES {
            let dropped = self.commits.remove(0);
            self.dropped_at = self.dropped_at.max(Some(dropped.acknowledged_at));
        }
    }

    /// Returns what a read at `service` has to see, whose group is in `epoch`, if its route requires
    /// the writes that were acknowledged before `since`.
    ///
    /// A commit of an earlier epoch needs no position: positions of the new epoch cover what its
    /// primary has kept.
    #[must_use]
    pub fn requirement(
        &self,
        service: &ServiceId,
        epoch: GroupEpoch,
        since: MonotonicTime,
    ) -> CommitRequirement {
        let known = self.commits.iter().find(|known| known.service == *service);
        let (since, position) = match known {
            Some(commit) if commit.epoch == epoch => (since, Some(commit.position)),
            Some(commit) if commit.epoch > epoch => (since.max(commit.acknowledged_at), None),
            Some(_) => (since, None),
            None => (since.max(self.dropped_at.unwrap_or(since)), None),
        };
        CommitRequirement { since, position }
    }
}
