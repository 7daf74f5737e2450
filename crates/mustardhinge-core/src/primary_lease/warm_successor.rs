use super::{ServerStatus, SuccessorChoice};
use crate::ids::TargetId;
use crate::units::LeaderTerm;

impl SuccessorChoice {
    /// Chooses like [`choose`](Self::choose), but promotes no cold server while a warm one can take
    /// over that has received at least as much of the log.
    ///
    /// A warm server that has received less would lose acknowledged writes.
    #[must_use]
    pub fn choose_warm(
        servers: &[ServerStatus],
        is_cold: impl Fn(&TargetId) -> bool,
        old: &TargetId,
        term: LeaderTerm,
        may_stay: bool,
    ) -> Self {
        let usual = Self::choose(servers, old, term, may_stay);
        let Self::Promote(candidate) = &usual else {
            return usual;
        };
        if !is_cold(candidate) {
            return usual;
        }
        let received = |id: &TargetId| {
            let found = servers.iter().find(|server| server.target == *id);
            found.map(|server| server.received)
        };
        let needed = received(candidate);
        let is_warm_replica = |server: &&ServerStatus| {
            let can_take_over = !server.is_primary && !server.is_leaving;
            can_take_over && !is_cold(&server.target) && Some(server.received) >= needed
        };
        match servers.iter().find(is_warm_replica) {
            Some(warm) => Self::Promote(warm.target.clone()),
            None => usual,
        }
    }
}
