use serde::{Deserialize, Serialize};

/// An entry's request for the newest control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRequest {
    /// The agent incarnation in the last response to the entry; 0 initially.
    pub agent_incarnation: u64,
    /// The revision known to the entry; 0 initially.
    pub known_revision: u64,
    /// How long to wait for a newer revision, in milliseconds.
    pub wait_ms: u32,
}
