//! Gateways: instances that hold the connections to a target on behalf of all other instances.

mod connection_plan;
mod delay_estimator;
mod gateway_candidate;
mod gateway_choice;
mod gateway_health;
mod gateway_pair;
mod gateway_rank;
mod gateway_route;
mod gateway_table;
mod gateway_update;
mod gateway_version;
mod gateway_view;

pub use connection_plan::ConnectionPlan;
pub use delay_estimator::DelayEstimator;
pub use gateway_candidate::GatewayCandidate;
pub use gateway_choice::GatewayChoice;
pub use gateway_health::GatewayHealth;
pub use gateway_pair::GatewayPair;
pub use gateway_rank::GatewayRank;
pub use gateway_route::GatewayRoute;
pub use gateway_table::GatewayTable;
pub use gateway_update::GatewayUpdate;
pub use gateway_version::GatewayVersion;
pub use gateway_view::GatewayView;
