use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::gateway::GatewayTable;
use mustardhinge_core::membership::{
    ConfirmationSource, InstanceRoster, ListFetchBackoff, QueryPacing, RosterEntry, StorePart,
    TransferSources,
};
use mustardhinge_core::prelude::{InstanceId, MonotonicTime, ServiceId};
use mustardhinge_core::primary_lease::{
    GroupLeases, LeaderRecord, LeaseGrant, PromotionOrders, RecordRevision, StoreEra,
};
use mustardhinge_core::rate_limit::{RateLimiter, SharePool};
use mustardhinge_process::event;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, Semaphore};
use tokio::time::timeout;

use super::state_relay::{ResponseKey, StateVersion};
use super::{GrantAck, GroupRecord, NewerState, PeerMessage, StateNotice};
use crate::adapter::PlatformClient;
use crate::node::NodeState;

/// Time after which a new leader has received a message from every instance that it can reach.
const ROSTER_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Maximum number of state responses that are sent concurrently. Each holds a compressed
/// configuration and list of targets of up to a megabyte in memory while it is sent. The fewer
/// there are, the sooner the first ones are complete and become sources for others.
const MAX_CONCURRENT_RESPONSES: usize = 2;
/// Time for which a started instance waits for its first grant: many round trips.
const FIRST_GRANT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time to wait for the store to deliver newer state before it is fetched from another instance.
const STORE_UPDATE_WAIT: Duration = Duration::from_millis(400);
/// Interval between checks for the first grant.
const FIRST_GRANT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The state of an instance's control plane.
#[derive(Debug)]
pub struct ControlState<P> {
    /// The state of the instance outside the control plane.
    pub node: Rc<NodeState>,
    /// The platform.
    pub platform: P,
    /// The incarnation of this process.
    pub incarnation: u64,
    /// The datagram socket for messages between instances.
    pub socket: UdpSocket,
    /// The leader's leases by service; empty on the other instances.
    pub group_leases: RefCell<HashMap<ServiceId, GroupLeases>>,
    /// The leases that this instance granted in earlier leaderships.
    pub earlier_leases: RefCell<HashMap<ServiceId, GroupLeases>>,
    /// The group records as last written or read, with their revisions.
    pub records: RefCell<HashMap<ServiceId, (RecordRevision, GroupRecord)>>,
    /// The orders to promote that may still take effect, by service.
    pub promotion_orders: RefCell<HashMap<ServiceId, PromotionOrders>>,
    /// The leader's limiter of the customers' rates.
    pub rate_limiter: RefCell<RateLimiter>,
    /// The shares that the isolated instances of the zone lend each other, if this one keeps them.
    pub share_pool: RefCell<SharePool>,
    /// The instance that keeps the share pool of the zone according to the last grant; none if it
    /// is this one.
    pub pool_keeper: Cell<Option<SocketAddr>>,
    /// The instances from which a message was received.
    pub instances: RefCell<InstanceRoster>,
    /// The leader's table of gateways.
    pub gateways: RefCell<GatewayTable>,
    /// The hash of the inputs of the last table of gateways, and when they were last checked.
    pub gateways_built: Cell<Option<(u64, MonotonicTime)>>,
    /// The groups for which a setup or a primary change is running.
    pub busy_groups: RefCell<HashSet<ServiceId>>,
    /// The groups whose servers are being asked because a member is no longer listed.
    pub queried_members: RefCell<HashSet<ServiceId>>,
    /// The leader's address according to another instance.
    pub leader_hint: Cell<Option<SocketAddr>>,
    /// The record of the newest leader that another instance has reported.
    pub reported_leader: RefCell<Option<LeaderRecord>>,
    /// Determines when a list of targets that differs from the leader's is fetched again.
    pub list_fetch_backoff: Cell<ListFetchBackoff>,
    /// Whether the state of another instance is being fetched.
    pub is_fetching: Cell<bool>,
    /// The last compressed state response, with its cache key.
    pub(super) compressed_response: RefCell<Option<(ResponseKey, Rc<Vec<u8>>)>>,
    /// Limits the number of concurrent state responses.
    pub response_permits: Semaphore,
    /// The instances that have received this instance's state.
    pub(super) transfer_sources: RefCell<TransferSources<StateVersion, SocketAddr>>,
    /// Addresses that requested the leader while it was unknown.
    pub pending_requesters: RefCell<Vec<SocketAddr>>,
    /// Whether [`leader_hint`](Self::leader_hint) names a new leader that has not been sent a
    /// request yet.
    pub is_hint_new: Cell<bool>,
    /// The acknowledgement of the last grant that this instance applied.
    pub grant_ack: Cell<Option<GrantAck>>,
    /// An instance with a newer configuration, list of targets or set of evacuated zones.
    pub newer_state: Cell<Option<NewerState>>,
    /// The instance that watches the store for this one, if any.
    pub relay: Cell<Option<SocketAddr>>,
    /// When the relay last reported the versions of its copies.
    pub relay_reported_at: Cell<MonotonicTime>,
    /// Determines when this instance asks for a confirmation of its copies.
    pub query_pacing: Cell<QueryPacing>,
    /// Notifies tasks that wait for a change of the relay.
    pub relay_changed: Notify,
    /// Notifies tasks that this instance became the leader.
    pub elected: Notify,
    /// Whether an order to promote a target is in flight.
    pub is_promoting: Cell<bool>,
    /// Whether the last call to the store succeeded.
    pub is_store_available: Cell<bool>,
    /// The newest era of the store that was seen; none before the first response.
    pub store_era: Cell<Option<StoreEra>>,
    /// Notifies tasks that wait for a rise of the era.
    pub store_era_changed: Notify,
    /// The latest epoch of each group that an instance has reported to this leader after a restore
    /// of the store.
    pub reported_epochs: RefCell<HashMap<ServiceId, LeaseGrant>>,
    /// The fence and the time of the last request that reported epochs.
    pub sent_report: Cell<Option<(u64, u64)>>,
    /// The fence of the leader that answered such a request.
    pub answered_report: Cell<Option<u64>>,
    /// When this instance last received a grant.
    pub granted_at: Cell<MonotonicTime>,
    /// When this instance became the leader.
    pub leader_since: Cell<MonotonicTime>,
    /// The leader before this instance, which may not know yet that it was replaced.
    pub predecessor: RefCell<Option<LeaderRecord>>,
    /// Wakes the control loop before its next scheduled iteration.
    pub wake: Notify,
}

impl<P> ControlState<P> {
    /// Creates the state of an instance's control plane.
    #[must_use]
    pub fn new(node: Rc<NodeState>, platform: P, socket: UdpSocket, incarnation: u64) -> Self {
        Self {
            node,
            platform,
            incarnation,
            socket,
            group_leases: RefCell::default(),
            earlier_leases: RefCell::default(),
            records: RefCell::default(),
            promotion_orders: RefCell::default(),
            rate_limiter: RefCell::default(),
            share_pool: RefCell::new(SharePool::new(incarnation)),
            pool_keeper: Cell::new(None),
            instances: RefCell::default(),
            gateways: RefCell::default(),
            gateways_built: Cell::new(None),
            busy_groups: RefCell::default(),
            queried_members: RefCell::default(),
            leader_hint: Cell::new(None),
            reported_leader: RefCell::new(None),
            list_fetch_backoff: Cell::default(),
            is_fetching: Cell::new(false),
            compressed_response: RefCell::default(),
            response_permits: Semaphore::new(MAX_CONCURRENT_RESPONSES),
            transfer_sources: RefCell::default(),
            pending_requesters: RefCell::default(),
            is_hint_new: Cell::new(false),
            grant_ack: Cell::new(None),
            newer_state: Cell::new(None),
            relay: Cell::new(None),
            relay_reported_at: Cell::default(),
            query_pacing: Cell::default(),
            relay_changed: Notify::new(),
            elected: Notify::new(),
            is_promoting: Cell::new(false),
            is_store_available: Cell::new(true),
            store_era: Cell::new(None),
            store_era_changed: Notify::new(),
            reported_epochs: RefCell::default(),
            sent_report: Cell::new(None),
            answered_report: Cell::new(None),
            granted_at: Cell::default(),
            leader_since: Cell::default(),
            predecessor: RefCell::new(None),
            wake: Notify::new(),
        }
    }

    /// Starts to grant leases on a group, after those that this instance granted before.
    pub(super) fn begin_group(&self, mut leases: GroupLeases) {
        let service = leases.service().clone();
        if let Some(earlier) = self.earlier_leases.borrow_mut().remove(&service) {
            leases.keep_leases(&earlier);
        }
        self.group_leases.borrow_mut().insert(service, leases);
    }

    /// Ends the leader's state of all groups. The leases that it granted may still be used.
    pub(super) fn end_groups(&self) {
        let ended = self.group_leases.take();
        self.earlier_leases.borrow_mut().extend(ended);
    }

    /// Sends a message without waiting. A message that can't be sent immediately is dropped, as any
    /// datagram may be.
    pub fn send(&self, message: &PeerMessage, to: SocketAddr) {
        match message.encode() {
            Ok(bytes) => {
                if let Err(error) = self.socket.try_send_to(&bytes, to) {
                    log::debug!("failed to send datagram to {to}: {error}");
                }
            }
            Err(error) => log::warn!("failed to encode message to {to}: {error}"),
        }
    }

    /// Records an instance from which a message was received.
    pub fn record_instance(&self, id: &InstanceId, entry: RosterEntry, now: MonotonicTime) {
        let mut instances = self.instances.borrow_mut();
        instances.record(id, entry);
        instances.refresh(&self.node.settings.instance, now);
    }

    /// Returns the number of instances, including this one.
    ///
    /// Until a new leader has received messages from all instances, the previously known number is
    /// the lower bound.
    #[must_use]
    pub fn count_instances(&self, now: MonotonicTime) -> usize {
        let count = self.instances.borrow().count().max(1);
        if now.saturating_since(self.leader_since.get()) < ROSTER_SETTLE_TIME {
            return count.max(self.node.instances());
        }
        count
    }

    /// Records the receipt of a grant and the relay that it assigns to this instance.
    pub fn record_grant(&self, relay: Option<SocketAddr>, now: MonotonicTime) {
        self.granted_at.set(now);
        self.relay.set(relay);
        self.relay_changed.notify_waiters();
    }

    /// Records an address from which newer state can be fetched.
    pub fn record_newer_state(&self, address: SocketAddr, notice: StateNotice, now: MonotonicTime) {
        if self.newer_state.get().is_none() {
            self.newer_state.set(Some(NewerState {
                address,
                notice,
                due_at: now + STORE_UPDATE_WAIT,
            }));
            self.wake.notify_one();
        }
    }

    /// Fetches newer state from an address in the next iteration of the control loop.
    pub fn fetch_at_once(&self, address: SocketAddr, notice: StateNotice, now: MonotonicTime) {
        self.newer_state.set(Some(NewerState {
            address,
            notice,
            due_at: now,
        }));
        self.wake.notify_one();
    }

    /// Waits briefly after the start for the first grant, which may make calls to the store
    /// unnecessary.
    pub async fn await_first_grant(&self) {
        let began = self.node.clock.now();
        while self.granted_at.get() == MonotonicTime::default()
            && self.node.clock.now().saturating_since(began) < FIRST_GRANT_TIMEOUT
        {
            // A timeout only means that the condition is checked again.
            let _ = timeout(FIRST_GRANT_POLL_INTERVAL, self.relay_changed.notified()).await;
        }
    }

    /// Records the result of a call to the store and logs a change of its availability.
    pub fn record_store_result(&self, result: Result<(), &dyn std::fmt::Display>) {
        match result {
            Ok(()) if !self.is_store_available.get() => {
                self.is_store_available.set(true);
                event::PLATFORM_REACHED.log(format_args!("part=store"));
            }
            Err(error) if self.is_store_available.get() => {
                self.is_store_available.set(false);
                event::PLATFORM_LOST.log(format_args!("part=store error={:?}", error.to_string()));
            }
            _ => {}
        }
    }

    /// Records that a response of the store shows all changes of a part up to `at`.
    pub fn confirm_by_store(&self, part: StorePart, at: MonotonicTime) {
        self.node.confirm_copy(part, at, ConfirmationSource::Store);
    }

    /// Waits until an era of the store after `era` was seen.
    pub async fn wait_for_era_after(&self, era: StoreEra) {
        loop {
            let changed = self.store_era_changed.notified();
            if self.store_era.get().is_some_and(|newest| newest > era) {
                return;
            }
            changed.await;
        }
    }
}

impl<P: PlatformClient> ControlState<P> {
    /// Records the newest era of the store, after a call to it or a message that names an era.
    pub fn update_store_era(&self) {
        let Some(era) = self.platform.store_era() else {
            return;
        };
        let before = self.store_era.replace(Some(era));
        if before == Some(era) {
            return;
        }
        let now = self.node.clock.now();
        self.node.election.borrow_mut().observe_era(era, now);
        if let Some(before) = before {
            event::STORE_ERA_RAISED.log(format_args!("era={era} before={before}"));
            metrics::counter!("resident_store_eras_total").increment(1);
            self.store_era_changed.notify_waiters();
            self.wake.notify_one();
        }
    }
}
