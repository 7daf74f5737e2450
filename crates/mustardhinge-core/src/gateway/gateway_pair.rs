use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::GatewayRank;

/// The gateways of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GatewayPair {
    /// Where its statements are forwarded to.
    pub first: SocketAddr,
    /// Where they are forwarded to while the first can't be reached.
    pub second: Option<SocketAddr>,
}

impl GatewayPair {
    /// Returns which of them the instance at `address` is.
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
