use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::gateway::GatewayHealth;
use mustardhinge_core::placement::HomeRegions;
use mustardhinge_core::prelude::{MonotonicTime, ZoneId};
use mustardhinge_process::{BootClock, event};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::peer_connection::{ConnectionEnd, run_connection};
use super::{ForwardedOutcome, ForwardedStatement, GatewayLoad, NotRunCause, OriginFrame};

/// Maximum number of pending statements per gateway. The gateway's queue in front of a target is
/// far shorter.
const MAX_PENDING_STATEMENTS: usize = 512;

/// Response to a forwarded statement: its outcome and the load of the target, if reported.
pub(super) type GatewayResponse = (ForwardedOutcome, Option<GatewayLoad>);

/// A statement without a response yet.
#[derive(Debug)]
struct PendingStatement {
    /// Number of the connection on which it was sent.
    connection_number: u64,
    response: oneshot::Sender<GatewayResponse>,
}

/// A gateway that this instance forwards to, over a single connection.
#[derive(Debug)]
pub struct GatewayPeer {
    address: SocketAddr,
    incarnation: u64,
    clock: BootClock,
    health: Cell<GatewayHealth>,
    sender: RefCell<Option<mpsc::UnboundedSender<OriginFrame>>>,
    pending: RefCell<HashMap<u64, PendingStatement>>,
    next_number: Cell<u64>,
    connection_number: Cell<u64>,
    /// The gateway's zone, if the gateway was asked for it on the present connection.
    zone: RefCell<Option<ZoneId>>,
    /// Whether a request for the zone has no response yet.
    awaits_zone: Cell<bool>,
    zone_changed: Notify,
    became_unresponsive: Notify,
    became_pending: Notify,
}

impl GatewayPeer {
    /// Creates a gateway without a connection. `incarnation` is that of this process.
    #[must_use]
    pub fn new(address: SocketAddr, incarnation: u64) -> Self {
        Self {
            address,
            incarnation,
            clock: BootClock,
            health: Cell::default(),
            sender: RefCell::new(None),
            pending: RefCell::default(),
            next_number: Cell::new(1),
            connection_number: Cell::new(0),
            zone: RefCell::new(None),
            awaits_zone: Cell::new(false),
            zone_changed: Notify::new(),
            became_unresponsive: Notify::new(),
            became_pending: Notify::new(),
        }
    }

    /// Returns the address to which statements are forwarded.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether statements may be forwarded to this gateway.
    #[must_use]
    pub fn is_usable(&self, now: MonotonicTime) -> bool {
        self.health.get().is_usable(now) && self.pending.borrow().len() < MAX_PENDING_STATEMENTS
    }

    /// Returns whether responses are pending.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.awaits_zone.get() || !self.pending.borrow().is_empty()
    }

    /// Allocates the number of the next statement.
    pub(super) fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Returns the number of the current connection; a transaction ends with its connection.
    #[must_use]
    pub fn connection_number(&self) -> u64 {
        self.connection_number.get()
    }

    /// Returns the incarnation of this process.
    pub(super) const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sends a statement, which may be restricted to home regions, and returns the receiver of its
    /// response.
    pub(super) fn send(
        self: &Rc<Self>,
        statement: ForwardedStatement,
        homes: Option<&HomeRegions>,
    ) -> oneshot::Receiver<GatewayResponse> {
        let (response_sender, response) = oneshot::channel();
        let number = statement.number;
        let statement = Box::new(statement);
        self.send_frame(match homes {
            Some(homes) => OriginFrame::HomeWork {
                homes: homes.clone(),
                statement,
            },
            None => OriginFrame::Work(statement),
        });
        let pending = PendingStatement {
            connection_number: self.connection_number.get(),
            response: response_sender,
        };
        self.pending.borrow_mut().insert(number, pending);
        let now = self.clock.now();
        self.update_health(|health| health.record_request(now));
        self.became_pending.notify_waiters();
        response
    }

    /// Returns the gateway's zone, if it was asked for it on the present connection.
    pub(crate) fn zone(&self) -> Option<ZoneId> {
        self.zone.borrow().clone()
    }

    /// Returns the gateway's zone, which is requested once per connection, or `None` if it doesn't
    /// respond within `wait`.
    pub(crate) async fn await_zone(self: &Rc<Self>, wait: Duration) -> Option<ZoneId> {
        if let Some(zone) = self.zone() {
            return Some(zone);
        }
        let changed = self.zone_changed.notified();
        if !self.awaits_zone.replace(true) {
            self.send_frame(OriginFrame::RequestZone);
            let now = self.clock.now();
            self.update_health(|health| health.record_request(now));
            self.became_pending.notify_waiters();
        }
        // After a timeout, the zone isn't known.
        let _ = timeout(wait, changed).await;
        self.zone()
    }

    /// Records the gateway's zone.
    pub(super) fn record_zone(&self, zone: ZoneId) {
        self.zone.replace(Some(zone));
        self.awaits_zone.set(false);
        self.zone_changed.notify_waiters();
    }

    /// Cancels a pending statement, since its caller no longer waits.
    pub(super) fn cancel(self: &Rc<Self>, number: u64) {
        if self.pending.borrow_mut().remove(&number).is_some() {
            self.send_if_connected(OriginFrame::Cancel { number });
        }
    }

    /// Abandons a transaction that was begun on connection `connection_number`.
    pub(super) fn release(self: &Rc<Self>, pin: u64, connection_number: u64) {
        if self.connection_number.get() == connection_number {
            self.send_if_connected(OriginFrame::Release { pin });
        }
    }

    /// Waits until a response is pending.
    pub(super) async fn wait_for_pending(&self) {
        while !self.has_pending() {
            self.became_pending.notified().await;
        }
    }

    /// Waits until the gateway is unresponsive; never completes while it is responsive.
    pub(super) async fn wait_until_unresponsive(&self) {
        loop {
            let became_unresponsive = self.became_unresponsive.notified();
            if self.health.get().is_unresponsive(self.clock.now()) {
                return;
            }
            became_unresponsive.await;
        }
    }

    /// Closes the connection after the queued frames have been written.
    pub(super) fn close(&self) {
        self.sender.replace(None);
    }

    fn send_frame(self: &Rc<Self>, frame: OriginFrame) {
        let unsent = match self.sender.borrow().as_ref() {
            Some(sender) => match sender.send(frame) {
                Ok(()) => return,
                Err(unsent) => unsent.0,
            },
            None => frame,
        };
        let (sender, frames) = mpsc::unbounded_channel();
        // The receiver is still in scope, so this can't fail.
        let _ = sender.send(unsent);
        self.sender.replace(Some(sender));
        self.connection_number.set(self.connection_number.get() + 1);
        self.zone.replace(None);
        let number = self.connection_number.get();
        spawn_local(run_connection(Rc::clone(self), number, frames));
    }

    fn send_if_connected(&self, frame: OriginFrame) {
        if let Some(sender) = self.sender.borrow().as_ref() {
            // A closed connection has already ended the statement or the transaction.
            let _ = sender.send(frame);
        }
    }

    /// Completes a pending statement. The response is dropped if the caller no longer waits.
    pub(super) fn complete(&self, number: u64, outcome: ForwardedOutcome, load: GatewayLoad) {
        if let Some(pending) = self.pending.borrow_mut().remove(&number) {
            // The caller may have stopped waiting in the meantime.
            let _ = pending.response.send((outcome, Some(load)));
        }
    }

    /// Records that frames were received.
    pub(super) fn record_received(&self) {
        let has_pending = self.has_pending();
        let now = self.clock.now();
        self.update_health(|health| health.record_received(has_pending, now));
    }

    /// Records that the gateway is stopping.
    pub(crate) fn mark_stopping(&self) {
        event::GATEWAY_LEAVING.log(format_args!("gateway={}", self.address));
        self.update_health(GatewayHealth::mark_stopping);
    }

    /// Checks the gateway's health and sends a ping if one is due. Returns whether the connection
    /// should be closed.
    pub(super) fn check_health(&self) -> bool {
        let now = self.clock.now();
        let health = self.health.get();
        if health.is_unresponsive(now) {
            self.became_unresponsive.notify_waiters();
        }
        if health.needs_ping(now) {
            self.send_if_connected(OriginFrame::Ping);
        }
        health.should_disconnect(now)
    }

    /// Handles the end of a connection. Its pending statements fail as lost, or as not run if it
    /// was never opened.
    ///
    /// Statements of a newer connection, opened after this one was closed, stay pending: they may
    /// have been sent, so this one's end must not report them as not run.
    pub(super) fn handle_disconnect(&self, connection_number: u64, end: &ConnectionEnd) {
        let now = self.clock.now();
        if self.connection_number.get() == connection_number {
            self.sender.replace(None);
            self.connection_number.set(connection_number + 1);
            self.forget_zone();
            self.update_health(|health| health.record_failure(now));
        }
        let pending: Vec<_> = self
            .pending
            .borrow_mut()
            .extract_if(|_, pending| pending.connection_number == connection_number)
            .map(|(_, pending)| pending.response)
            .collect();
        event::GATEWAY_LOST.log(format_args!(
            "gateway={} pending={} error={:?}",
            self.address,
            pending.len(),
            end.to_string()
        ));
        let outcome = match end {
            ConnectionEnd::NotOpened(_) => ForwardedOutcome::NotRun(NotRunCause::Unreachable),
            ConnectionEnd::Broken(_) | ConnectionEnd::Silent => {
                ForwardedOutcome::Lost { is_silent: false }
            }
        };
        for response in pending {
            // The caller may no longer be waiting.
            let _ = response.send((outcome.clone(), None));
        }
    }

    /// Forgets the zone with the connection, and ends the wait for it.
    fn forget_zone(&self) {
        self.zone.replace(None);
        self.awaits_zone.set(false);
        self.zone_changed.notify_waiters();
    }

    fn update_health(&self, change: impl FnOnce(&mut GatewayHealth)) {
        let mut health = self.health.get();
        change(&mut health);
        self.health.set(health);
    }
}
