use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use mustardhinge_core::gateway::GatewayHealth;
use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_process::{BootClock, event};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::spawn_local;

use super::peer_connection::{ConnectionEnd, run_connection};
use super::{ForwardedWork, GatewayLoad, NotRunCause, OriginFrame, WorkAnswer};

/// Statements that one instance may have at one gateway at a time; the gateway's queue in front
/// of a target is far shorter.
const MOST_PENDING: usize = 512;

/// What comes back for a forwarded statement.
pub(super) type PeerAnswer = (WorkAnswer, Option<GatewayLoad>);

/// One gateway that this instance forwards to, over one connection.
#[derive(Debug)]
pub struct GatewayPeer {
    address: SocketAddr,
    incarnation: u64,
    clock: BootClock,
    condition: Cell<GatewayHealth>,
    out: RefCell<Option<mpsc::UnboundedSender<OriginFrame>>>,
    pending: RefCell<HashMap<u64, oneshot::Sender<PeerAnswer>>>,
    next_number: Cell<u64>,
    life: Cell<u64>,
    silenced: Notify,
    owing: Notify,
}

impl GatewayPeer {
    /// Makes a gateway that is not connected yet; `incarnation` is this instance's.
    #[must_use]
    pub fn new(address: SocketAddr, incarnation: u64) -> Self {
        Self {
            address,
            incarnation,
            clock: BootClock,
            condition: Cell::default(),
            out: RefCell::new(None),
            pending: RefCell::default(),
            next_number: Cell::new(1),
            life: Cell::new(0),
            silenced: Notify::new(),
            owing: Notify::new(),
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
        self.condition.get().is_usable(now) && self.pending.borrow().len() < MOST_PENDING
    }

    /// Returns whether it owes answers.
    #[must_use]
    pub fn is_owing(&self) -> bool {
        !self.pending.borrow().is_empty()
    }

    /// Returns the number of the next statement.
    pub(super) fn take_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Returns which connection this is; a transaction lives on one.
    #[must_use]
    pub fn life(&self) -> u64 {
        self.life.get()
    }

    /// Sends a statement and returns where its answer comes.
    pub(super) fn send(self: &Rc<Self>, work: ForwardedWork) -> oneshot::Receiver<PeerAnswer> {
        let (answer, answered) = oneshot::channel();
        self.pending.borrow_mut().insert(work.number, answer);
        let now = self.clock.now();
        self.change(|condition| condition.record_request(now));
        self.owing.notify_waiters();
        self.push(OriginFrame::Work(Box::new(work)));
        answered
    }

    /// Says that nobody waits for an answer any more.
    pub(super) fn cancel(self: &Rc<Self>, number: u64) {
        if self.pending.borrow_mut().remove(&number).is_some() {
            self.push_open(OriginFrame::Cancel { number });
        }
    }

    /// Gives up a transaction that was begun on connection `life`.
    pub(super) fn release(self: &Rc<Self>, pin: u64, life: u64) {
        if self.life.get() == life {
            self.push_open(OriginFrame::Release { pin });
        }
    }

    /// Waits until it owes answers.
    pub(super) async fn until_owing(&self) {
        while !self.is_owing() {
            self.owing.notified().await;
        }
    }

    /// Waits until the gateway is silent, if it ever is.
    pub(super) async fn until_silent(&self) {
        loop {
            let silenced = self.silenced.notified();
            if self.condition.get().is_unresponsive(self.clock.now()) {
                return;
            }
            silenced.await;
        }
    }

    /// Ends the connection once what was sent is out.
    pub(super) fn close(&self) {
        self.out.replace(None);
    }

    fn push(self: &Rc<Self>, frame: OriginFrame) {
        let unsent = match self.out.borrow().as_ref() {
            Some(out) => match out.send(frame) {
                Ok(()) => return,
                Err(unsent) => unsent.0,
            },
            None => frame,
        };
        let (out, frames) = mpsc::unbounded_channel();
        // The receiver is held right here.
        let _ = out.send(unsent);
        self.out.replace(Some(out));
        self.life.set(self.life.get() + 1);
        spawn_local(run_connection(Rc::clone(self), self.incarnation, frames));
    }

    fn push_open(&self, frame: OriginFrame) {
        if let Some(out) = self.out.borrow().as_ref() {
            // A closed connection has ended what the frame would end.
            let _ = out.send(frame);
        }
    }

    /// Takes an answer; a late one, whose caller has gone, is dropped.
    pub(super) fn answered(&self, number: u64, answer: WorkAnswer, load: GatewayLoad) {
        if let Some(waiting) = self.pending.borrow_mut().remove(&number) {
            // The caller may have gone this moment.
            let _ = waiting.send((answer, Some(load)));
        }
    }

    /// Takes any sign of life.
    pub(super) fn heard(&self) {
        let owes = self.is_owing();
        let now = self.clock.now();
        self.change(|condition| condition.record_received(owes, now));
    }

    /// Takes that the gateway is stopping.
    pub(crate) fn left(&self) {
        event::GATEWAY_LEAVING.log(format_args!("gateway={}", self.address));
        self.change(GatewayHealth::mark_stopping);
    }

    /// Asks for a sign of life where one is due. Returns whether the connection is to be given
    /// up.
    pub(super) fn look(&self) -> bool {
        let now = self.clock.now();
        let condition = self.condition.get();
        if condition.is_unresponsive(now) {
            self.silenced.notify_waiters();
        }
        if condition.needs_ping(now) {
            self.push_open(OriginFrame::Ping);
        }
        condition.should_disconnect(now)
    }

    /// Takes the end of the connection: what was not answered is lost, or was never sent.
    pub(super) fn ended(&self, end: &ConnectionEnd) {
        let now = self.clock.now();
        self.out.replace(None);
        self.life.set(self.life.get() + 1);
        self.change(|condition| condition.record_failure(now));
        let pending = self.pending.take();
        event::GATEWAY_LOST.log(format_args!(
            "gateway={} pending={} error={:?}",
            self.address,
            pending.len(),
            end.to_string()
        ));
        let answer = match end {
            ConnectionEnd::NotOpened(_) => WorkAnswer::NotRun(NotRunCause::Unreachable),
            ConnectionEnd::Broken(_) | ConnectionEnd::Silent => {
                WorkAnswer::Lost { is_silent: false }
            }
        };
        for waiting in pending.into_values() {
            // A caller that has gone needs no answer.
            let _ = waiting.send((answer.clone(), None));
        }
    }

    fn change(&self, change: impl FnOnce(&mut GatewayHealth)) {
        let mut condition = self.condition.get();
        change(&mut condition);
        self.condition.set(condition);
    }
}
