//! Home regions: which targets and gateways the statements of a route and a customer may reach.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::gateway::GatewayPair;
use mustardhinge_core::placement::HomeRegions;
use mustardhinge_core::prelude::ZoneId;

use super::NodeState;
use crate::gateway::GatewayPeer;
use crate::target::TargetHandle;

/// Timeout of a gateway's response to the request for its zone: a new connection and a few round
/// trips. It is sent once per connection.
const ZONE_TIMEOUT: Duration = Duration::from_millis(200);

impl NodeState {
    /// Returns whether a statement restricted to `homes` may reach a target.
    #[must_use]
    pub fn allows_target(&self, homes: Option<&HomeRegions>, target: &TargetHandle) -> bool {
        homes.is_none_or(|homes| {
            homes.allows_target(&target.entry().zone, &self.settings.zone_regions)
        })
    }

    /// Returns whether the text of a statement of this instance's callers that is restricted to
    /// `homes` may be sent to an instance in `zone`.
    #[must_use]
    pub fn allows_instance(&self, homes: &HomeRegions, zone: &ZoneId) -> bool {
        homes.allows_instance(zone, &self.settings.zone, &self.settings.zone_regions)
    }

    /// Returns whether the text of a statement restricted to `homes` may be forwarded to the gateway
    /// at `address`, as far as its zone is known.
    #[must_use]
    pub(crate) fn may_forward_to(&self, address: SocketAddr, homes: Option<&HomeRegions>) -> bool {
        homes.is_none_or(|homes| {
            let zone = self.peers.zone_of(address);
            zone.is_none_or(|zone| self.allows_instance(homes, &zone))
        })
    }

    /// Returns the gateway to forward a statement restricted to `homes` to, or `None` if this
    /// instance connects to the target directly.
    ///
    /// The gateway table has no zones, so a gateway is asked for its own once per connection.
    pub(super) async fn choose_home_gateway(
        &self,
        pair: &GatewayPair,
        homes: &HomeRegions,
    ) -> Option<Rc<GatewayPeer>> {
        let mut skipped: Vec<SocketAddr> = Vec::new();
        loop {
            let is_allowed = |address| !skipped.contains(&address);
            let now = self.clock.now();
            let peer = self.peers.choose_among(pair, is_allowed, now)?;
            match peer.await_zone(ZONE_TIMEOUT).await {
                Some(zone) if self.allows_instance(homes, &zone) => return Some(peer),
                Some(_) => record_outside_home("gateway"),
                None => {}
            }
            skipped.push(peer.address());
        }
    }
}

/// Counts a decision that kept a statement from a region that is not its home.
pub(crate) fn record_outside_home(stage: &'static str) {
    metrics::counter!("resident_outside_home_total", "stage" => stage).increment(1);
}
