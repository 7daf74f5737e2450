use serde::{Deserialize, Serialize};

/// The reason why an agent rejects a call of another agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerError {
    /// The sender uses another protocol version.
    OtherProtocol,
}
