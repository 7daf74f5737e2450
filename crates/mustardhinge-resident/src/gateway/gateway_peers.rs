use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use mustardhinge_core::gateway::{GatewayPair, GatewayRank};
use mustardhinge_core::prelude::MonotonicTime;

use super::GatewayPeer;

/// The gateways that this instance forwards to.
#[derive(Debug)]
pub struct GatewayPeers {
    own_address: SocketAddr,
    incarnation: u64,
    peers: RefCell<HashMap<SocketAddr, Rc<GatewayPeer>>>,
}

impl GatewayPeers {
    /// Creates an empty set for the instance at `own_address`.
    #[must_use]
    pub fn new(own_address: SocketAddr, incarnation: u64) -> Self {
        Self {
            own_address,
            incarnation,
            peers: RefCell::default(),
        }
    }

    /// Returns the incarnation of this process.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the rank of this instance among the gateways of a target.
    #[must_use]
    pub fn own_rank(&self, pair: &GatewayPair) -> GatewayRank {
        pair.rank_of(self.own_address)
    }

    /// Returns the gateway to forward to, or `None` if this instance connects to the target
    /// directly.
    #[must_use]
    pub fn choose(&self, pair: &GatewayPair, now: MonotonicTime) -> Option<Rc<GatewayPeer>> {
        for address in [Some(pair.first), pair.second].into_iter().flatten() {
            if address == self.own_address {
                return None;
            }
            let peer = self.peer(address);
            if peer.is_usable(now) {
                return Some(peer);
            }
        }
        metrics::counter!("resident_gateway_fallbacks_total").increment(1);
        None
    }

    fn peer(&self, address: SocketAddr) -> Rc<GatewayPeer> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers
            .entry(address)
            .or_insert_with(|| Rc::new(GatewayPeer::new(address, self.incarnation)));
        Rc::clone(peer)
    }

    /// Closes the connections to instances that are no longer gateways and have no pending
    /// responses.
    pub fn retain(&self, is_gateway: impl Fn(SocketAddr) -> bool) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|address, peer| {
            let stays = is_gateway(*address) || peer.has_pending();
            if !stays {
                peer.close();
            }
            stays
        });
    }
}
