use serde::{Deserialize, Serialize};

/// Why an agent does not answer another one's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerError {
    /// The sender speaks another version of the calls.
    OtherProtocol,
}
