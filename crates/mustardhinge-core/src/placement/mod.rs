//! Where a statement runs, and what its target has to hold, for groups whose primary is
//! used under a lease.

mod placement_candidate;
mod position_history;
mod read_placement;
mod replica_lag;
mod service_meter;
mod target_affinity;

pub use placement_candidate::PlacementCandidate;
pub use position_history::PositionHistory;
pub use read_placement::ReadPlacement;
pub use replica_lag::ReplicaLag;
pub use service_meter::ServiceMeter;
pub use target_affinity::TargetAffinity;
