use serde::{Deserialize, Serialize};

/// The version of a gateway table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GatewayVersion {
    /// The fence of the leader that created the table.
    pub fence: u64,
    /// Increases with each change by this leader.
    pub number: u64,
}
