use crate::units::LogPosition;

use super::{ReadRoute, TargetState};

/// The targets that a read may go to, and the floor that it needs.
#[derive(Clone, Debug)]
pub(super) struct ReadCandidates<'a> {
    /// The group's current primary.
    pub(super) primary: Option<&'a TargetState>,
    /// The other targets, the best first.
    pub(super) replicas: Vec<&'a TargetState>,
    /// The position that the target has to have applied.
    pub(super) floor: LogPosition,
}

impl<'a> ReadCandidates<'a> {
    /// Iterates over the replicas that have applied the floor, the best first.
    pub(super) fn eligible_replicas(&self) -> impl Iterator<Item = &'a TargetState> {
        let replicas = self.replicas.iter().copied();
        replicas.filter(|state| state.applied >= self.floor)
    }

    /// Returns the primary if it has applied the floor.
    pub(super) fn eligible_primary(&self) -> Option<&'a TargetState> {
        self.primary.filter(|state| state.applied >= self.floor)
    }

    /// Returns the replica that has applied most; of several the best.
    pub(super) fn newest_replica(&self) -> Option<&'a TargetState> {
        let worst_first = self.replicas.iter().rev().copied();
        worst_first.max_by_key(|state| state.applied)
    }

    /// Reads at the primary if it has applied the floor.
    pub(super) fn read_at_primary(&self) -> Option<ReadRoute> {
        self.eligible_primary().map(primary_route)
    }
}

/// Returns the route to the primary.
pub(super) fn primary_route(state: &TargetState) -> ReadRoute {
    ReadRoute::Primary(state.target.clone())
}
