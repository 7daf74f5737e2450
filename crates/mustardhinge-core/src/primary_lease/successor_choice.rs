use crate::ids::TargetId;
use crate::units::{LeaderTerm, LogPosition};

/// What one server of a group says of itself while its primary is replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// The server.
    pub target: TargetId,
    /// Whether it says that it leads.
    pub is_primary: bool,
    /// The term that it knows.
    pub term: LeaderTerm,
    /// The last position that it received.
    pub received: LogPosition,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// How a group gets its next primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuccessorChoice {
    /// This server leads already.
    Adopt(TargetId, LeaderTerm),
    /// This replica is to be promoted.
    Promote(TargetId),
    /// Nobody can take over yet.
    Wait,
}

impl SuccessorChoice {
    /// Chooses among the servers that answered, when the primary `old` is replaced; it may
    /// go on itself if `may_stay`. Whoever leads the group leads in `term` or a later one.
    ///
    /// A server that leads in an earlier term was replaced and doesn't know it yet: a
    /// former primary that comes back from a crash, for instance. It is never adopted,
    /// also if no other server answers.
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
