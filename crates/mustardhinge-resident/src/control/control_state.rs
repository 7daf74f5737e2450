use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::gateway::GatewayTable;
use mustardhinge_core::membership::{InstanceRoster, ListFetchBackoff, RosterEntry};
use mustardhinge_core::prelude::{InstanceId, MonotonicTime, ServiceId};
use mustardhinge_core::primary_lease::{GroupLeases, LeaderRecord, RecordRevision};
use mustardhinge_core::rate_limit::RateLimiter;
use mustardhinge_process::event;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, Semaphore};
use tokio::time::timeout;

use super::state_relay::ResponseKey;
use super::{GrantAck, GroupRecord, PeerMessage};
use crate::node::NodeState;

/// A new holder has heard all instances that it can reach after this time.
const ROSTER_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Without the holder's word for this long an instance watches the store itself; two asks went
/// unanswered.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_100);
/// A wait for the end of that time lasts a little longer, so that one look is enough.
const RELAY_TIMEOUT_MARGIN: Duration = Duration::from_millis(10);
/// Each answer holds a packed configuration and list of up to a megabyte while it is sent.
const MAX_CONCURRENT_RESPONSES: usize = 8;
/// How long a started instance waits for the holder's first word: many round trips.
const FIRST_GRANT_TIMEOUT: Duration = Duration::from_millis(100);
/// How often it looks for that.
const FIRST_GRANT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The state of an instance's control.
#[derive(Debug)]
pub struct ControlState<P> {
    /// What the instance knows.
    pub node: Rc<NodeState>,
    /// The platform.
    pub platform: P,
    /// The life of this process.
    pub incarnation: u64,
    /// The socket for messages of other instances.
    pub socket: UdpSocket,
    /// The holder's books on the groups; empty at the others.
    pub group_leases: RefCell<HashMap<ServiceId, GroupLeases>>,
    /// The groups' records as last written or read.
    pub records: RefCell<HashMap<ServiceId, (RecordRevision, GroupRecord)>>,
    /// The holder's books on the customers' rates.
    pub rate_limiter: RefCell<RateLimiter>,
    /// The instances that were heard.
    pub instances: RefCell<InstanceRoster>,
    /// The leader's table of gateways.
    pub gateways: RefCell<GatewayTable>,
    /// What the table was last made of, and when.
    pub gateways_built: Cell<Option<(u64, MonotonicTime)>>,
    /// Groups that a task is at work on.
    pub busy_groups: RefCell<HashSet<ServiceId>>,
    /// Where the holder may be found, from another instance.
    pub leader_hint: Cell<Option<SocketAddr>>,
    /// The record of the newest holder that was named by another instance.
    pub reported_leader: RefCell<Option<LeaderRecord>>,
    /// When a list of targets that differs from the holder's is fetched again, and the pause after.
    pub list_fetch_backoff: Cell<ListFetchBackoff>,
    /// Whether the state of another instance is being fetched.
    pub is_fetching: Cell<bool>,
    /// The last answer that was packed for others, and what it was made of.
    pub(super) compressed_response: RefCell<Option<(ResponseKey, Rc<Vec<u8>>)>>,
    /// Answers to other instances that are made at a time.
    pub response_permits: Semaphore,
    /// Where it was asked who holds the duty while that was not known.
    pub pending_requesters: RefCell<Vec<SocketAddr>>,
    /// Whether that one has just taken the duty over, and waits to be asked.
    pub is_hint_new: Cell<bool>,
    /// The last grant that this instance took.
    pub grant_ack: Cell<Option<GrantAck>>,
    /// Where a newer configuration or list of targets was announced.
    pub newer_state_source: Cell<Option<(SocketAddr, MonotonicTime)>>,
    /// Who watches the store for this instance, if another one does.
    pub relay: Cell<Option<SocketAddr>>,
    /// Wakes those who wait for a change of that.
    pub relay_changed: Notify,
    /// Whether an order to promote may be under way.
    pub is_promoting: Cell<bool>,
    /// Whether the store answers this instance.
    pub is_store_available: Cell<bool>,
    /// When leases were last lent to this instance.
    pub granted_at: Cell<MonotonicTime>,
    /// When this instance took the duty over.
    pub leader_since: Cell<MonotonicTime>,
    /// The holder before this instance, which may not know that it was replaced.
    pub predecessor: RefCell<Option<LeaderRecord>>,
    /// Wakes the control before its time.
    pub wake: Notify,
}

impl<P> ControlState<P> {
    /// Makes the state of an instance's control.
    #[must_use]
    pub fn new(node: Rc<NodeState>, platform: P, socket: UdpSocket, incarnation: u64) -> Self {
        Self {
            node,
            platform,
            incarnation,
            socket,
            group_leases: RefCell::default(),
            records: RefCell::default(),
            rate_limiter: RefCell::default(),
            instances: RefCell::default(),
            gateways: RefCell::default(),
            gateways_built: Cell::new(None),
            busy_groups: RefCell::default(),
            leader_hint: Cell::new(None),
            reported_leader: RefCell::new(None),
            list_fetch_backoff: Cell::default(),
            is_fetching: Cell::new(false),
            compressed_response: RefCell::default(),
            response_permits: Semaphore::new(MAX_CONCURRENT_RESPONSES),
            pending_requesters: RefCell::default(),
            is_hint_new: Cell::new(false),
            grant_ack: Cell::new(None),
            newer_state_source: Cell::new(None),
            relay: Cell::new(None),
            relay_changed: Notify::new(),
            is_promoting: Cell::new(false),
            is_store_available: Cell::new(true),
            granted_at: Cell::default(),
            leader_since: Cell::default(),
            predecessor: RefCell::new(None),
            wake: Notify::new(),
        }
    }

    /// Sends a message; one that can't be sent now is lost like any datagram.
    pub fn send(&self, message: &PeerMessage, to: SocketAddr) {
        match message.encode() {
            Ok(bytes) => {
                if let Err(error) = self.socket.try_send_to(&bytes, to) {
                    log::debug!("datagram to {to} not sent: {error}");
                }
            }
            Err(error) => log::warn!("message to {to} not encoded: {error}"),
        }
    }

    /// Notes that an instance was heard.
    pub fn record_instance(&self, id: &InstanceId, entry: RosterEntry, now: MonotonicTime) {
        let mut instances = self.instances.borrow_mut();
        instances.record(id, entry);
        instances.refresh(&self.node.settings.instance, now);
    }

    /// Returns how many instances there are, this one included.
    #[must_use]
    pub fn count_instances(&self, now: MonotonicTime) -> usize {
        let count = self.instances.borrow().count().max(1);
        if now.saturating_since(self.leader_since.get()) < ROSTER_SETTLE_TIME {
            return count.max(self.node.instances());
        }
        count
    }

    /// Notes the holder's word, and who watches the store for this instance.
    pub fn record_grant(&self, relay: Option<SocketAddr>, now: MonotonicTime) {
        let was_relayed = self.is_relayed(now);
        let is_first = self.granted_at.replace(now) == MonotonicTime::default();
        self.relay.set(relay);
        if is_first || was_relayed != self.is_relayed(now) {
            self.relay_changed.notify_waiters();
        }
    }

    /// Notes where something newer may be fetched.
    pub fn record_newer_state(&self, address: SocketAddr, now: MonotonicTime) {
        if self.newer_state_source.get().is_none() {
            self.newer_state_source.set(Some((address, now)));
            self.wake.notify_one();
        }
    }

    /// Returns whether another instance watches the store for this one.
    #[must_use]
    pub fn is_relayed(&self, now: MonotonicTime) -> bool {
        let has_recent_grant = now.saturating_since(self.granted_at.get()) < RELAY_TIMEOUT;
        has_recent_grant && self.relay.get().is_some()
    }

    /// Waits until another instance watches the store for this one, or no longer does.
    pub async fn wait_until_relayed(&self, relayed: bool) {
        loop {
            let now = self.node.clock.now();
            if self.is_relayed(now) == relayed {
                return;
            }
            let changed = self.relay_changed.notified();
            if relayed {
                changed.await;
            } else {
                let expires_at = self.granted_at.get() + RELAY_TIMEOUT + RELAY_TIMEOUT_MARGIN;
                // The time being out only means that it is looked at again.
                let _ = timeout(expires_at.saturating_since(now), changed).await;
            }
        }
    }

    /// Waits a moment after the start for the holder's first word, which may spare calls to
    /// the store.
    pub async fn await_first_grant(&self) {
        let began = self.node.clock.now();
        while self.granted_at.get() == MonotonicTime::default()
            && self.node.clock.now().saturating_since(began) < FIRST_GRANT_TIMEOUT
        {
            // The time being out only means that it is looked at again.
            let _ = timeout(FIRST_GRANT_POLL_INTERVAL, self.relay_changed.notified()).await;
        }
    }

    /// Notes whether the store answered.
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
}
