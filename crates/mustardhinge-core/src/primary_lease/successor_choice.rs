use crate::ids::TargetId;
use crate::units::{LeaderTerm, LogPosition};

/// The status reported by one server of a group while the primary is replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// The server.
    pub target: TargetId,
    /// Whether it reports that it is the primary.
    pub is_primary: bool,
    /// Its term.
    pub term: LeaderTerm,
    /// The last log position that it received.
    pub received: LogPosition,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// The next primary of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuccessorChoice {
    /// This server is already the primary, in this term.
    Adopt(TargetId, LeaderTerm),
    /// Promote this replica.
    Promote(TargetId),
    /// No server can take over yet.
    Wait,
}

impl SuccessorChoice {
    /// Chooses the successor of the primary `old` among the servers that responded.
    ///
    /// With `may_stay` the old primary may remain. The current primary of the group is primary in
    /// `term` or a later one.
    ///
    /// A server that reports itself primary in an earlier term was replaced and doesn't know it
    /// yet, for example a former primary after a crash. It is never adopted, even if no other
    /// server responds.
    #[must_use]
    pub fn choose(
        servers: &[ServerStatus],
        old: &TargetId,
        term: LeaderTerm,
        may_stay: bool,
    ) -> Self {
        let is_leading = |server: &&ServerStatus| {
            let is_old = server.target == *old;
            server.is_primary && server.term >= term && (may_stay || !is_old)
        };
        let leader = servers
            .iter()
            .filter(is_leading)
            .max_by_key(|server| server.term);
        if let Some(leader) = leader {
            return Self::Adopt(leader.target.clone(), leader.term);
        }
        let is_candidate = |server: &&ServerStatus| !server.is_primary && !server.is_leaving;
        let replica = servers
            .iter()
            .filter(is_candidate)
            .max_by_key(|server| server.received);
        replica.map_or(Self::Wait, |replica| Self::Promote(replica.target.clone()))
    }
}
