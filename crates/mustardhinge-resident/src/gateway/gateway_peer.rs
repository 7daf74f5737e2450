use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use mustardhinge_core::gateway::PeerCondition;
use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_process::{BootClock, event};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::spawn_local;

use super::peer_connection::{ConnectionEnd, run_connection};
use super::{ForwardedOutcome, ForwardedStatement, GatewayLoad, NotRunCause, OriginFrame};

/// Statements that one instance may have at one gateway at a time; the gateway's queue in front
/// of a target is far shorter.
const MAX_PENDING_STATEMENTS: usize = 512;

/// What comes back for a forwarded statement.
pub(super) type GatewayResponse = (ForwardedOutcome, Option<GatewayLoad>);

/// One gateway that this instance forwards to, over one connection.
#[derive(Debug)]
pub struct GatewayPeer {
    address: SocketAddr,
    incarnation: u64,
    clock: BootClock,
    health: Cell<PeerCondition>,
    sender: RefCell<Option<mpsc::UnboundedSender<OriginFrame>>>,
    pending: RefCell<HashMap<u64, oneshot::Sender<GatewayResponse>>>,
    next_number: Cell<u64>,
    connection_number: Cell<u64>,
    became_unresponsive: Notify,
    became_pending: Notify,
}

impl GatewayPeer {
    /// Makes a gateway that is not connected yet; `incarnation` is this instance's.
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
            became_unresponsive: Notify::new(),
            became_pending: Notify::new(),
        }
    }

    /// Returns where it takes forwarded statements.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether statements may be forwarded to it.
    #[must_use]
    pub fn is_usable(&self, now: MonotonicTime) -> bool {
        self.health.get().is_usable(now) && self.pending.borrow().len() < MAX_PENDING_STATEMENTS
    }

    /// Returns whether it owes answers.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.borrow().is_empty()
    }

    /// Returns the number of the next statement.
    pub(super) fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Returns which connection this is; a transaction lives on one.
    #[must_use]
    pub fn connection_number(&self) -> u64 {
        self.connection_number.get()
    }

    /// Sends a statement and returns where its answer comes.
    pub(super) fn send(
        self: &Rc<Self>,
        statement: ForwardedStatement,
    ) -> oneshot::Receiver<GatewayResponse> {
        let (response_sender, response) = oneshot::channel();
        self.pending
            .borrow_mut()
            .insert(statement.number, response_sender);
        let now = self.clock.now();
        self.update_health(|health| health.sent(now));
        self.became_pending.notify_waiters();
        self.send_frame(OriginFrame::Work(Box::new(statement)));
        response
    }

    /// Says that nobody waits for an answer any more.
    pub(super) fn cancel(self: &Rc<Self>, number: u64) {
        if self.pending.borrow_mut().remove(&number).is_some() {
            self.send_if_connected(OriginFrame::Cancel { number });
        }
    }

    /// Gives up a transaction that was begun on connection `life`.
    pub(super) fn release(self: &Rc<Self>, pin: u64, connection_number: u64) {
        if self.connection_number.get() == connection_number {
            self.send_if_connected(OriginFrame::Release { pin });
        }
    }

    /// Waits until it owes answers.
    pub(super) async fn wait_for_pending(&self) {
        while !self.has_pending() {
            self.became_pending.notified().await;
        }
    }

    /// Waits until the gateway is silent, if it ever is.
    pub(super) async fn wait_until_unresponsive(&self) {
        loop {
            let became_unresponsive = self.became_unresponsive.notified();
            if self.health.get().is_silent(self.clock.now()) {
                return;
            }
            became_unresponsive.await;
        }
    }

    /// Ends the connection once what was sent is out.
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
        // The receiver is held right here.
        let _ = sender.send(unsent);
        self.sender.replace(Some(sender));
        self.connection_number.set(self.connection_number.get() + 1);
        spawn_local(run_connection(Rc::clone(self), self.incarnation, frames));
    }

    fn send_if_connected(&self, frame: OriginFrame) {
        if let Some(sender) = self.sender.borrow().as_ref() {
            // A closed connection has ended what the frame would end.
            let _ = sender.send(frame);
        }
    }

    /// Takes an answer; a late one, whose caller has gone, is dropped.
    pub(super) fn complete(&self, number: u64, outcome: ForwardedOutcome, load: GatewayLoad) {
        if let Some(waiter) = self.pending.borrow_mut().remove(&number) {
            // The caller may have gone this moment.
            let _ = waiter.send((outcome, Some(load)));
        }
    }

    /// Takes any sign of life.
    pub(super) fn record_received(&self) {
        let has_pending = self.has_pending();
        let now = self.clock.now();
        self.update_health(|health| health.heard(has_pending, now));
    }

    /// Takes that the gateway is stopping.
    pub(crate) fn mark_stopping(&self) {
        event::GATEWAY_LEAVING.log(format_args!("gateway={}", self.address));
        self.update_health(PeerCondition::left);
    }

    /// Asks for a sign of life where one is due. Returns whether the connection is to be given
    /// up.
    pub(super) fn check_health(&self) -> bool {
        let now = self.clock.now();
        let health = self.health.get();
        if health.is_silent(now) {
            self.became_unresponsive.notify_waiters();
        }
        if health.wants_ping(now) {
            self.send_if_connected(OriginFrame::Ping);
        }
        health.is_gone(now)
    }

    /// Takes the end of the connection: what was not answered is lost, or was never sent.
    pub(super) fn handle_disconnect(&self, end: &ConnectionEnd) {
        let now = self.clock.now();
        self.sender.replace(None);
        self.connection_number.set(self.connection_number.get() + 1);
        self.update_health(|health| health.failed(now));
        let pending = self.pending.take();
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
        for waiter in pending.into_values() {
            // A caller that has gone needs no answer.
            let _ = waiter.send((outcome.clone(), None));
        }
    }

    fn update_health(&self, change: impl FnOnce(&mut PeerCondition)) {
        let mut health = self.health.get();
        change(&mut health);
        self.health.set(health);
    }
}
