//! JSON-RPC interfaces between the entry, its agent and the agents of other
//! instances, and the types of the operator API.

mod agent_api;
pub mod budget;
pub mod control;
pub mod operator;
pub mod peer;
mod peer_api;
mod readable_entries;

pub use agent_api::{AgentApiClient, AgentApiServer};
pub use peer_api::{PeerApiClient, PeerApiServer};
pub use readable_entries::readable_entries;
