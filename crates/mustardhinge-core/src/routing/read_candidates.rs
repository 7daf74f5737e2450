use crate::units::LogPosition;

use super::{ReadRoute, TargetState};

/// The available targets for a read, and the log position that the read requires.
#[derive(Clone, Debug)]
pub(super) struct ReadCandidates<'a> {
    /// The group's current primary, if it is available.
    pub(super) primary: Option<&'a TargetState>,
    /// The replicas in order of preference.
    pub(super) replicas: Vec<&'a TargetState>,
    /// The log position that a target must have applied.
    pub(super) floor: LogPosition,
}

impl<'a> ReadCandidates<'a> {
    /// Iterates over the replicas that have applied the floor, in order of preference.
    pub(super) fn eligible_replicas(&self) -> impl Iterator<Item = &'a TargetState> {
        let replicas = self.replicas.iter().copied();
        replicas.filter(|state| state.applied >= self.floor)
    }

    /// Returns the primary if it has applied the floor.
    pub(super) fn eligible_primary(&self) -> Option<&'a TargetState> {
        self.primary.filter(|state| state.applied >= self.floor)
    }

    /// Returns the replica with the highest applied position, and of several the preferred one.
    pub(super) fn newest_replica(&self) -> Option<&'a TargetState> {
        let worst_first = self.replicas.iter().rev().copied();
        worst_first.max_by_key(|state| state.applied)
    }

    /// Returns the route to the primary if it has applied the floor.
    pub(super) fn read_at_primary(&self) -> Option<ReadRoute> {
        self.eligible_primary().map(primary_route)
    }
}

/// Returns the route to the primary.
pub(super) fn primary_route(state: &TargetState) -> ReadRoute {
    ReadRoute::Primary(state.target.clone())
}
