use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::GatewayRank;

/// The gateways of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GatewayPair {
    /// The gateway that statements are forwarded to.
    pub first: SocketAddr,
    /// The gateway that is used while the first is unreachable.
    pub second: Option<SocketAddr>,
}

impl GatewayPair {
    /// Returns the rank of the instance at `address`.
    #[must_use]
    pub fn rank_of(&self, address: SocketAddr) -> GatewayRank {
        if self.first == address {
            GatewayRank::First
        } else if self.second == Some(address) {
            GatewayRank::Second
        } else {
            GatewayRank::Other
        }
    }
}
