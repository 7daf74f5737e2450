//! The choice of a target for each statement, and the log position that the target must have
//! applied, for groups whose primary is used under a lease.

mod choice_with_shares;
mod cold_period;
mod customer_share;
mod home_regions;
mod latency_estimate;
mod load_estimate;
mod placement_candidate;
mod placement_exclusion;
mod position_history;
mod preferred_targets;
mod read_placement;
mod replica_lag;
mod spread_candidate;
mod spread_choice;
mod spread_limits;
mod spread_placement;
mod spread_range;
mod target_affinity;
mod target_load;
mod zone_regions;

pub use cold_period::ColdPeriod;
pub use customer_share::CustomerShare;
pub use home_regions::HomeRegions;
pub use latency_estimate::LatencyEstimate;
pub use load_estimate::LoadEstimate;
pub use placement_candidate::PlacementCandidate;
pub use placement_exclusion::PlacementExclusion;
pub use position_history::PositionHistory;
pub use preferred_targets::PreferredTargets;
pub use read_placement::ReadPlacement;
pub use replica_lag::ReplicaLag;
pub use spread_candidate::SpreadCandidate;
pub use spread_choice::SpreadChoice;
pub use spread_limits::SpreadLimits;
pub use spread_placement::SpreadPlacement;
pub use spread_range::SpreadRange;
pub use target_affinity::TargetAffinity;
pub use target_load::TargetLoad;
pub use zone_regions::ZoneRegions;
