use serde::{Deserialize, Serialize};

/// Which table of gateways an instance knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GatewayVersion {
    /// The fence of the leader that made it.
    pub fence: u64,
    /// Grows with each change that this leader makes.
    pub number: u64,
}
