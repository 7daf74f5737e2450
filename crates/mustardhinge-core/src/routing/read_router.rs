use std::time::Duration;

use crate::ids::ZoneId;
use crate::outcome::{RefusalReason, RetryDelay};
use crate::replication::FloorHistory;
use crate::session::ReadRequirement;
use crate::units::{LogPosition, MonotonicTime};

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
        if let Some(route) = self.choose(query, &available, floor) {
            return route;
        }
        let replicas = available.iter().filter(|state| !state.is_primary);
        let replica = replicas.max_by_key(|state| (state.applied, self.zone == state.zone));
        let primary = available.iter().find(|state| state.is_primary);
        let patience = self.replica_patience(query, now);
        let is_near = |state: &&&TargetState| is_caught_up(state, history, now, patience);
        let candidates = WaitCandidates {
            near_replica: replica.filter(is_near).copied(),
            primary: primary.copied(),
            replica: replica.copied(),
        };
        self.wait(query, &candidates, floor, now)
    }

    /// Chooses among the targets that have applied the floor.
    fn choose(
        &self,
        query: &ReadQuery,
        available: &[&TargetState],
        floor: LogPosition,
    ) -> Option<ReadRoute> {
        let current = available.iter().filter(|state| state.applied >= floor);
        let (primary, mut replicas): (Vec<_>, Vec<_>) =
            current.copied().partition(|state| state.is_primary);
        replicas.sort_by_key(|state| self.rank(state));
        let is_free = |state: &&TargetState| !self.is_overloaded(state);
        if let Some(first) = replicas.first().copied().filter(is_free) {
            let second = replicas
                .get(1)
                .filter(|state| state.in_flight < state.slots);
            let hedge = second.filter(|_| query.is_hedgeable());
            return Some(ReadRoute::Replica {
                target: first.target.clone(),
                hedge: hedge.map(|state| state.target.clone()),
            });
        }
        let least_loaded = replicas.first().copied();
        let spill = primary.into_iter().next();
        match (spill, least_loaded) {
            (Some(primary), Some(replica)) if self.is_overloaded(primary) => {
                Some(replica_route(replica))
            }
            (Some(primary), _) => Some(ReadRoute::Primary(primary.target.clone())),
            (None, Some(replica)) => Some(replica_route(replica)),
            (None, None) => None,
        }
    }

    /// Waits for the target that should reach the floor first, or refuses.
    fn wait(
        &self,
        query: &ReadQuery,
        candidates: &WaitCandidates<'_>,
        floor: LogPosition,
        now: MonotonicTime,
    ) -> ReadRoute {
        let last_until = query.arrived_at + self.settings.get_primary_wait();
        let last_until = last_until.min(query.deadline);
        if now >= last_until {
            return self.refuse(RefusalReason::FloorNotReached);
        }
        if let Some(replica) = candidates.near_replica {
            let until = now + self.replica_patience(query, now);
            return wait_for(replica, floor, until.min(last_until));
        }
        match candidates.primary.or(candidates.replica) {
            Some(state) => wait_for(state, floor, last_until),
            None => self.refuse(RefusalReason::NoTarget),
        }
    }

    /// Returns how much longer a read may wait for a replica.
    fn replica_patience(&self, query: &ReadQuery, now: MonotonicTime) -> Duration {
        let until = query.arrived_at + self.settings.get_replica_wait();
        until.saturating_since(now)
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

/// The targets that a read may wait for.
struct WaitCandidates<'a> {
    near_replica: Option<&'a TargetState>,
    primary: Option<&'a TargetState>,
    replica: Option<&'a TargetState>,
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

/// Returns whether a replica was current so lately that it should reach any
/// floor within `patience`.
fn is_caught_up(
    state: &TargetState,
    history: &FloorHistory,
    now: MonotonicTime,
    patience: Duration,
) -> bool {
    let fresh_at = history.fresh_at(state.applied);
    !patience.is_zero() && fresh_at.is_some_and(|at| now.saturating_since(at) <= patience)
}

fn replica_route(state: &TargetState) -> ReadRoute {
    ReadRoute::Replica {
        target: state.target.clone(),
        hedge: None,
    }
}

fn wait_for(state: &TargetState, floor: LogPosition, until: MonotonicTime) -> ReadRoute {
    ReadRoute::WaitFor {
        target: state.target.clone(),
        floor,
        until,
    }
}
