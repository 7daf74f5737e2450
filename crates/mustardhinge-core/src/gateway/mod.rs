//! Gateways: the instances that keep the connections to a target for all others.

mod connection_plan;
mod frame_clock;
mod gateway_candidate;
mod gateway_choice;
mod gateway_news;
mod gateway_pair;
mod gateway_rank;
mod gateway_table;
mod gateway_version;
mod gateway_view;
mod peer_condition;

pub use connection_plan::ConnectionPlan;
pub use frame_clock::FrameClock;
pub use gateway_candidate::GatewayCandidate;
pub use gateway_choice::GatewayChoice;
pub use gateway_news::GatewayNews;
pub use gateway_pair::GatewayPair;
pub use gateway_rank::GatewayRank;
pub use gateway_table::GatewayTable;
pub use gateway_version::GatewayVersion;
pub use gateway_view::GatewayView;
pub use peer_condition::PeerCondition;
