//! Slopes from which docs/CAPACITY.md works out the two-year size.

mod agent_slope;
mod connection_slope;
mod document_slope;
mod group_slope;
mod process_usage;
mod slope_name;
mod slope_point;

pub use process_usage::ProcessUsage;
pub use slope_name::SlopeName;
pub use slope_point::SlopePoint;
