//! Typed calls between the entry, the agent and the agents of other instances.

mod agent_api;
pub mod budget;
pub mod control;
pub mod operator;
pub mod peer;
mod peer_api;

pub use agent_api::{AgentApiClient, AgentApiServer};
pub use peer_api::{PeerApiClient, PeerApiServer};
