use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use mustardhinge_core::gateway::{GatewayPair, GatewayRank, GatewayRoute};
use mustardhinge_core::prelude::{MonotonicTime, ZoneId};

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
        self.choose_among(pair, |_| true, now)
    }

    /// Returns the gateway to forward to like [`choose`](Self::choose), without those that aren't
    /// allowed.
    #[must_use]
    pub fn choose_among(
        &self,
        pair: &GatewayPair,
        is_allowed: impl Fn(SocketAddr) -> bool,
        now: MonotonicTime,
    ) -> Option<Rc<GatewayPeer>> {
        let is_usable = |address| is_allowed(address) && self.peer(address).is_usable(now);
        match pair.route(self.own_address, is_usable) {
            GatewayRoute::Forward(address) => Some(self.peer(address)),
            GatewayRoute::Own => None,
            GatewayRoute::Fallback => {
                metrics::counter!("resident_gateway_fallbacks_total").increment(1);
                None
            }
        }
    }

    /// Returns the route that [`choose_among`](Self::choose_among) would take now.
    #[must_use]
    pub fn route(
        &self,
        pair: &GatewayPair,
        is_allowed: impl Fn(SocketAddr) -> bool,
        now: MonotonicTime,
    ) -> GatewayRoute {
        pair.route(self.own_address, |address| {
            is_allowed(address) && self.is_usable(address, now).unwrap_or(true)
        })
    }

    /// Returns the zone of the gateway at `address`, if this instance has asked for it.
    #[must_use]
    pub fn zone_of(&self, address: SocketAddr) -> Option<ZoneId> {
        let peers = self.peers.borrow();
        peers.get(&address).and_then(|peer| peer.zone())
    }

    /// Returns whether statements may be forwarded to the gateway at `address`, or `None` if this
    /// instance has not used it yet, in which case they may.
    #[must_use]
    pub fn is_usable(&self, address: SocketAddr, now: MonotonicTime) -> Option<bool> {
        let peers = self.peers.borrow();
        peers.get(&address).map(|peer| peer.is_usable(now))
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
