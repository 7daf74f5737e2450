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
/// A target may serve a read if it has applied the log position that the read
/// requires. This applies to the primary as well, because it may have been
/// replaced without knowing it. Replicas are preferred to the primary. Among
/// replicas, those with a free slot come first, then those in the instance's
/// availability zone, then those with fewer statements in flight.
#[derive(Clone, Debug)]
pub struct ReadRouter {
    zone: ZoneId,
    settings: RouterSettings,
}

impl ReadRouter {
    /// Creates the router of an instance in `zone`.
    #[must_use]
    pub fn new(zone: ZoneId, settings: RouterSettings) -> Self {
        Self { zone, settings }
    }

    /// Decides how to route a read at time `now`.
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

    /// Routes to the preferred replica that has applied the floor. If that replica
    /// is overloaded, routes to the primary instead, provided that the primary has
    /// applied the floor and is not overloaded.
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

    /// Waits for the most current replica if it should reach the floor within the
    /// replica wait.
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

    /// Waits for the primary, or for the most current replica if there is no
    /// primary; refuses the read after the primary wait.
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

    /// Returns the sort key of a replica; lower is preferred.
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

/// Returns the log position that a read requires, or `None` if it has to be
/// determined by a floor round.
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

/// Returns whether a replica lags by at most `max_lag`, so that it should reach
/// any floor within that time.
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
