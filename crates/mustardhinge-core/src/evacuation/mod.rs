//! Availability zones to whose targets an operator wants nothing sent any more.

mod evacuated_zones;
mod evacuation_version;
mod missing_evacuation;
mod target_use;

pub use evacuated_zones::EvacuatedZones;
pub use evacuation_version::EvacuationVersion;
pub use target_use::TargetUse;
