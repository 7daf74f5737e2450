//! The gateway table of an instance, and the choice of a direct or forwarded connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::gateway::{
    ConnectionPlan, GatewayPair, GatewayRank, GatewayRoute, GatewayUpdate, GatewayVersion,
};
use mustardhinge_core::overload::OverloadControl;
use mustardhinge_core::prelude::{CustomerId, MonotonicTime};
use mustardhinge_core::queue::CustomerWeight;
use mustardhinge_process::event;
use tokio::time::timeout;

use super::NodeState;
use crate::adapter::SessionCodec;
use crate::gateway::ForwardedConnection;
use crate::target::{
    ConnectionError, ConnectionRequest, LinkAdmission, LinkPreview, TargetHandle, TargetLease,
};

/// How long a statement waits for the first gateway table. A new leader creates it within a few
/// hundred milliseconds.
const GATEWAYS_WAIT: Duration = Duration::from_millis(400);

impl NodeState {
    /// Applies a change of the gateway table.
    pub fn adopt_gateways(&self, update: &GatewayUpdate) {
        if !self.gateways.borrow_mut().apply(update) {
            return;
        }
        let gateways = self.gateways.borrow();
        event::GATEWAYS_CHANGED.log(format_args!(
            "version={}.{} whole={} changed={} targets={}",
            update.version.fence,
            update.version.number,
            update.is_whole,
            update.changes.len(),
            gateways.len()
        ));
        metrics::gauge!("resident_gateway_targets").set(gateways.len() as f64);
        drop(gateways);
        self.update_connection_limits();
        self.gateways_changed.notify_waiters();
        let groups = self.groups.borrow();
        let targets = groups.values().flat_map(|group| group.targets());
        let pairs: Vec<_> = targets.filter_map(|target| target.gateways()).collect();
        self.peers.retain(|address| {
            let is_of = |pair: &GatewayPair| pair.rank_of(address) != GatewayRank::Other;
            pairs.iter().any(is_of)
        });
    }

    /// Returns the peer addresses of the other instances that are gateways.
    #[must_use]
    pub fn gateway_addresses(&self) -> Vec<SocketAddr> {
        let groups = self.groups.borrow();
        let targets = groups.values().flat_map(|group| group.targets());
        let pairs = targets.filter_map(|target| target.gateways());
        let mut addresses: Vec<_> = pairs
            .flat_map(|pair| [Some(pair.first), pair.second])
            .flatten()
            .filter(|address| *address != self.settings.peer_address)
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the version of the known gateway table.
    #[must_use]
    pub fn gateway_version(&self) -> GatewayVersion {
        self.gateways.borrow().version()
    }

    /// Returns a connection to a target after a wait in its queue, or a link through the target's
    /// gateway, where forwarded statements are queued.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is free in time, or the target can't be reached.
    pub async fn acquire_link<W: SessionCodec>(
        &self,
        target: &Rc<TargetHandle>,
        need: &ConnectionRequest,
    ) -> Result<TargetLease, ConnectionError> {
        self.wait_for_gateways(target, need).await;
        let need = self.with_customer_weight(need.clone());
        let peer = match (target.gateways(), &need.homes) {
            (Some(pair), None) => self.peers.choose(&pair, self.clock.now()),
            (Some(pair), Some(homes)) => self.choose_home_gateway(&pair, homes).await,
            (None, _) => None,
        };
        match peer {
            Some(peer) => {
                target.admit_by_report(&need, self.clock.now())?;
                let link = ForwardedConnection::new(peer);
                Ok(TargetLease::forwarded(Rc::clone(target), link))
            }
            None => target.acquire_lease::<W>(&need, &self.clock).await,
        }
    }

    /// Sets the weight of the request's customer, by its configured rate, if overload control is in
    /// force.
    #[must_use]
    pub fn with_customer_weight(&self, mut request: ConnectionRequest) -> ConnectionRequest {
        request.weight = self.customer_weight(&request.customer, self.overload_control());
        request
    }

    fn customer_weight(
        &self,
        customer: &CustomerId,
        overload: OverloadControl,
    ) -> Option<CustomerWeight> {
        overload.is_on().then(|| {
            let plan = self.plan();
            let mut customers = plan.customers().iter();
            let known = customers.find(|known| known.customer == *customer);
            known.map_or(CustomerWeight::LOWEST, |known| {
                CustomerWeight::from_rate(known.limits.rate)
            })
        })
    }

    /// Returns what [`acquire_link`](Self::acquire_link) would do at `now`, without any effect.
    pub(crate) fn preview_link(
        &self,
        target: &TargetHandle,
        need: &ConnectionRequest,
        now: MonotonicTime,
    ) -> LinkPreview {
        let mut need = need.clone();
        need.weight = self.customer_weight(&need.customer, self.current_overload_control());
        let is_allowed = |address| self.may_forward_to(address, need.homes.as_deref());
        let pair = target.gateways();
        let route = pair.map(|pair| self.peers.route(&pair, is_allowed, now));
        let admission = match route {
            _ if self.awaits_gateways(target) => LinkAdmission::Wait(need.wait.min(GATEWAYS_WAIT)),
            Some(GatewayRoute::Forward(_)) => target.preview_report(&need, now),
            _ => target.preview_lease(&need, now),
        };
        LinkPreview { route, admission }
    }

    fn awaits_gateways(&self, target: &TargetHandle) -> bool {
        let plan = self.plan();
        let connection_limit = plan.connection_limit(&target.entry().service);
        let customers = plan.customers().len();
        let planned = ConnectionPlan::decide(connection_limit, self.instances.get(), customers);
        planned == ConnectionPlan::Gateways && self.gateway_version().number == 0
    }

    /// Waits for the first gateway table if connections are scarce. Instances that start at the
    /// same time would otherwise take all connections before the gateways can.
    async fn wait_for_gateways(&self, target: &TargetHandle, need: &ConnectionRequest) {
        if self.awaits_gateways(target) {
            let wait = need.wait.min(GATEWAYS_WAIT);
            // After a timeout, this instance connects directly.
            let _ = timeout(wait, self.gateways_changed.notified()).await;
        }
    }
}
