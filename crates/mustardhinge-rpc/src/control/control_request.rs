use serde::{Deserialize, Serialize};

/// An entry's question for the newest control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRequest {
    /// The start of the agent that the entry last heard of; 0 at first.
    pub agent_incarnation: u64,
    /// The revision known to the entry; 0 at first.
    pub known_revision: u64,
    /// How long to wait for a newer revision, in milliseconds.
    pub wait_ms: u32,
}
