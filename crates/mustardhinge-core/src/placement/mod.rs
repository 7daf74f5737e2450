//! The choice of a target for each statement, and the log position that the target must have
//! applied, for groups whose primary is used under a lease.

mod latency_estimate;
mod placement_candidate;
mod position_history;
mod read_placement;
mod replica_lag;
mod target_affinity;

pub use latency_estimate::LatencyEstimate;
pub use placement_candidate::PlacementCandidate;
pub use position_history::PositionHistory;
pub use read_placement::ReadPlacement;
pub use replica_lag::ReplicaLag;
pub use target_affinity::TargetAffinity;
