use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{GatewayRank, GatewayRoute};

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

    /// Returns the route of the instance at `own_address`: the first gateway that is usable.
    ///
    /// # Examples
    ///
    /// ```
    /// use mustardhinge_core::gateway::{GatewayPair, GatewayRoute};
    ///
    /// let [own, first, second] = [1, 2, 3].map(|port| ([127, 0, 0, 1], port).into());
    /// let pair = GatewayPair { first, second: Some(second) };
    /// let route = pair.route(own, |address| address != first);
    /// assert_eq!(route, GatewayRoute::Forward(second));
    /// assert_eq!(pair.route(own, |_| false), GatewayRoute::Fallback);
    /// assert_eq!(pair.route(first, |_| true), GatewayRoute::Own);
    /// ```
    pub fn route(
        &self,
        own_address: SocketAddr,
        mut is_usable: impl FnMut(SocketAddr) -> bool,
    ) -> GatewayRoute {
        for address in [Some(self.first), self.second].into_iter().flatten() {
            if address == own_address {
                return GatewayRoute::Own;
            }
            if is_usable(address) {
                return GatewayRoute::Forward(address);
            }
        }
        GatewayRoute::Fallback
    }
}
