use std::time::Duration;

use crate::ids::ZoneId;
use crate::outcome::{RefusalReason, RetryDelay};
use crate::replication::FloorHistory;
use crate::session::ReadRequirement;
use crate::units::{LogPosition, MonotonicTime};

use super::read_candidates::{ReadCandidates, primary_route};
use super::{ReadQuery, ReadRoute, RouterSettings, TargetState};

/// Chooses the target of each read of one group.
///
/// A target may serve a read if it has applied the position that the read
/// requires, whatever its role: a primary that was replaced without its
/// knowledge is held to the same rule. Replicas go before the primary, the own
/// availability zone before the others, and few statements in flight before
/// many.
#[derive(Clone, Debug)]
pub struct ReadRouter {
    zone: ZoneId,
    settings: RouterSettings,
}

impl ReadRouter {
    /// Makes the router of an instance in `zone`.
    #[must_use]
    pub fn new(zone: ZoneId, settings: RouterSettings) -> Self {
        Self { zone, settings }
    }

    /// Chooses what to do with a read now.
    #[must_use]
    pub fn route(
        &self,
        query: &ReadQuery,
        targets: &[TargetState],
        history: &FloorHistory,
        now: MonotonicTime,
    ) -> ReadRoute {
        let available = targets.iter().filter(|state| state.is_available());
        let available: Vec<_> = available.collect();
        if available.is_empty() {
            return self.refuse(RefusalReason::NoTarget);
        }
        let Some(floor) = required_position(query.requirement, history, now) else {
            return ReadRoute::NeedsFloor;
        };
        let is_replica = |state: &&TargetState| !state.is_primary;
        let (mut replicas, primary): (Vec<_>, Vec<_>) = available.into_iter().partition(is_replica);
        replicas.sort_by_key(|state| self.rank(state));
        let candidates = ReadCandidates {
            primary: primary.first().copied(),
            replicas,
            floor,
        };
        self.read_at_replica(query, &candidates)
            .or_else(|| self.wait_for_replica(query, &candidates, history, now))
            .or_else(|| candidates.read_at_primary())
            .unwrap_or_else(|| self.wait_for_any(query, &candidates, now))
    }

    /// Reads at the best replica that has applied the floor; if that one has
    /// too much to do, at the primary if that has less.
    fn read_at_replica(
        &self,
        query: &ReadQuery,
        candidates: &ReadCandidates<'_>,
    ) -> Option<ReadRoute> {
        let mut eligible = candidates.eligible_replicas();
        let first = eligible.next()?;
        if self.is_overloaded(first) {
            let primary = candidates.eligible_primary();
            let spill = primary.filter(|state| !self.is_overloaded(state));
            return Some(spill.map_or_else(|| replica_route(first, None), primary_route));
        }
        let second = eligible
            .next()
            .filter(|state| state.in_flight < state.slots);
        let hedge = second.filter(|_| query.is_hedgeable());
        Some(replica_route(first, hedge))
    }

    /// Waits for a replica that should reach the floor shortly.
    fn wait_for_replica(
        &self,
        query: &ReadQuery,
        candidates: &ReadCandidates<'_>,
        history: &FloorHistory,
        now: MonotonicTime,
    ) -> Option<ReadRoute> {
        let until = query.arrived_at + self.settings.get_replica_wait();
        let until = until.min(query.deadline);
        let max_lag = until.saturating_since(now);
        let replica = candidates.newest_replica()?;
        let will_catch_up = is_nearly_current(replica, history, now, max_lag);
        will_catch_up.then(|| wait_for(replica, candidates.floor, until))
    }

    /// Waits for the primary, or for a replica if there is none; refuses when
    /// the time for that is over.
    fn wait_for_any(
        &self,
        query: &ReadQuery,
        candidates: &ReadCandidates<'_>,
        now: MonotonicTime,
    ) -> ReadRoute {
        let until = query.arrived_at + self.settings.get_primary_wait();
        let until = until.min(query.deadline);
        let target = candidates.primary.or_else(|| candidates.newest_replica());
        match target {
            Some(state) if now < until => wait_for(state, candidates.floor, until),
            _ => self.refuse(RefusalReason::FloorNotReached),
        }
    }

    /// Orders replicas, the best first.
    fn rank(&self, state: &TargetState) -> (bool, bool, u32) {
        let is_full = state.in_flight >= state.slots;
        (is_full, state.zone != self.zone, state.in_flight)
    }

    fn is_overloaded(&self, state: &TargetState) -> bool {
        let limit = state.slots.max(1) * self.settings.get_spill_factor();
        state.in_flight >= limit
    }

    fn refuse(&self, reason: RefusalReason) -> ReadRoute {
        ReadRoute::Refuse {
            reason,
            retry_after: RetryDelay::new(self.settings.get_retry_after()),
        }
    }
}

/// Returns the position that a read requires, or `None` if it takes a floor
/// round to know it.
fn required_position(
    requirement: ReadRequirement,
    history: &FloorHistory,
    now: MonotonicTime,
) -> Option<LogPosition> {
    match requirement {
        ReadRequirement::FreshFloor => None,
        ReadRequirement::Floor(floor) => Some(floor),
        ReadRequirement::MaxAge(age) => history.floor_since(now - age),
        ReadRequirement::FloorAndMaxAge(floor, age) => {
            let aged = history.floor_since(now - age)?;
            Some(aged.max(floor))
        }
    }
}

/// Returns whether a replica has been behind for so short a time that it should
/// reach any floor within `max_lag`.
fn is_nearly_current(
    state: &TargetState,
    history: &FloorHistory,
    now: MonotonicTime,
    max_lag: Duration,
) -> bool {
    let behind_since = history.behind_since(state.applied);
    let behind = behind_since.map_or(Duration::ZERO, |at| now.saturating_since(at));
    !max_lag.is_zero() && behind <= max_lag
}

fn replica_route(state: &TargetState, hedge: Option<&TargetState>) -> ReadRoute {
    ReadRoute::Replica {
        target: state.target.clone(),
        hedge: hedge.map(|state| state.target.clone()),
    }
}

fn wait_for(state: &TargetState, floor: LogPosition, until: MonotonicTime) -> ReadRoute {
    ReadRoute::WaitFor {
        target: state.target.clone(),
        floor,
        until,
    }
}
