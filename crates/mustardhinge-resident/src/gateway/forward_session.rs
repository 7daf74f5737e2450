use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::gateway::FrameClock;
use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_process::event;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::forwarded_run::ForwardedRun;
use super::{ForwardedWork, GatewayFrame, NotRunCause, OriginFrame, WorkAnswer};
use crate::adapter::SessionCodec;
use crate::node::NodeState;
use crate::target::{LinkLease, TargetHandle};

/// Statements of one instance that wait or run here at a time; more are refused at once.
const MOST_RUNNING: usize = 512;
/// When to come back if too many statements wait here.
const FULL_RETRY_MS: u32 = 150;

/// One instance that forwards to this one.
#[derive(Debug)]
pub(super) struct ForwardSession {
    node: Rc<NodeState>,
    incarnation: u64,
    out: mpsc::UnboundedSender<GatewayFrame>,
    unread: Cell<usize>,
    clock: RefCell<FrameClock>,
    running: RefCell<HashSet<u64>>,
    cancelled: RefCell<HashSet<u64>>,
    pins: RefCell<HashMap<u64, PinnedLease>>,
    is_closed: Cell<bool>,
}

/// A connection with an open transaction of another instance's session.
#[derive(Debug)]
struct PinnedLease {
    lease: LinkLease,
    used_at: MonotonicTime,
}

impl ForwardSession {
    /// Makes the session of an instance whose answers go to `out`.
    pub(super) fn new(
        node: Rc<NodeState>,
        incarnation: u64,
        out: mpsc::UnboundedSender<GatewayFrame>,
    ) -> Self {
        Self {
            node,
            incarnation,
            out,
            unread: Cell::new(0),
            clock: RefCell::default(),
            running: RefCell::default(),
            cancelled: RefCell::default(),
            pins: RefCell::default(),
            is_closed: Cell::new(false),
        }
    }

    /// Returns what this instance knows.
    pub(super) const fn node(&self) -> &Rc<NodeState> {
        &self.node
    }

    /// Returns how many frames the instance has not read yet.
    pub(super) const fn unread(&self) -> usize {
        self.unread.get()
    }

    /// Takes that frames went out.
    pub(super) fn wrote(&self, count: usize) {
        self.unread.set(self.unread.get().saturating_sub(count));
    }

    /// Returns whether nobody waits for a statement's answer any more.
    pub(super) fn is_abandoned(&self, number: u64) -> bool {
        self.is_closed.get() || self.cancelled.borrow().contains(&number)
    }

    /// Ends the session with its connection. Returns how many transactions are given up and how
    /// many statements still run.
    pub(super) fn close(&self) -> (usize, usize) {
        self.is_closed.set(true);
        let open = self.pins.take().len();
        self.count_forwarded(-(open as isize));
        (open, self.running.borrow().len())
    }

    /// Sends a frame.
    pub(super) fn push(&self, frame: GatewayFrame) {
        self.unread.set(self.unread.get() + 1);
        // A closed connection has nobody to answer.
        let _ = self.out.send(frame);
    }

    fn count_forwarded(&self, change: isize) {
        let count = &self.node.forwarded_work;
        count.set(count.get().saturating_add_signed(change));
    }

    /// Takes a frame of the instance.
    pub(super) fn take_frame<W: SessionCodec>(self: &Rc<Self>, frame: OriginFrame) {
        match frame {
            OriginFrame::Ping => self.push(GatewayFrame::Pong),
            OriginFrame::Cancel { number } => {
                if self.running.borrow().contains(&number) {
                    self.cancelled.borrow_mut().insert(number);
                }
            }
            OriginFrame::Release { pin } => self.release(pin),
            OriginFrame::Work(work) => self.take_work::<W>(*work),
        }
    }

    fn release(&self, pin: u64) {
        if self.running.borrow().contains(&pin) {
            self.cancelled.borrow_mut().insert(pin);
        }
        if self.pins.borrow_mut().remove(&pin).is_some() {
            self.count_forwarded(-1);
        }
    }

    fn take_work<W: SessionCodec>(self: &Rc<Self>, work: ForwardedWork) {
        let now = self.node.clock.now();
        let sent_at = MonotonicTime::from_micros(work.sent_at);
        let delay = self.clock.borrow_mut().delay(sent_at, now);
        let number = work.number;
        if self.running.borrow().len() >= MOST_RUNNING {
            let cause = NotRunCause::Full {
                retry_ms: FULL_RETRY_MS,
            };
            return self.answer(number, None, WorkAnswer::NotRun(cause));
        }
        self.running.borrow_mut().insert(number);
        self.count_forwarded(1);
        let session = Rc::clone(self);
        spawn_local(async move {
            let target = session.find_target(&work);
            let answer = match &target {
                Some(target) => {
                    let run = ForwardedRun::new(work, session.incarnation, now - delay);
                    run.run::<W>(&session, target).await
                }
                None => WorkAnswer::NotRun(NotRunCause::TargetUnknown),
            };
            session.running.borrow_mut().remove(&number);
            session.cancelled.borrow_mut().remove(&number);
            session.answer(number, target.as_deref(), answer);
            session.count_forwarded(-1);
        });
    }

    fn find_target(&self, work: &ForwardedWork) -> Option<Rc<TargetHandle>> {
        self.node.find_group(&work.service)?.find(&work.target)
    }

    fn answer(&self, number: u64, target: Option<&TargetHandle>, answer: WorkAnswer) {
        let now = self.node.clock.now();
        let load = target.map(|target| target.own_load(now));
        self.push(GatewayFrame::Answer {
            number,
            load: load.unwrap_or_default(),
            answer,
        });
    }

    /// Takes the connection of an open transaction.
    pub(super) fn unpin(&self, pin: u64) -> Option<LinkLease> {
        let pinned = self.pins.borrow_mut().remove(&pin)?;
        self.count_forwarded(-1);
        Some(pinned.lease)
    }

    /// Keeps the connection of an open transaction.
    pub(super) fn pin(&self, pin: u64, lease: LinkLease, now: MonotonicTime) {
        if self.is_closed.get() || self.cancelled.borrow_mut().remove(&pin) {
            return;
        }
        let pinned = PinnedLease {
            lease,
            used_at: now,
        };
        self.count_forwarded(1);
        self.pins.borrow_mut().insert(pin, pinned);
    }

    /// Gives up the transactions that have rested for `limit`.
    pub(super) fn end_transactions(&self, limit: Duration) {
        let now = self.node.clock.now();
        let ended: Vec<_> = self
            .pins
            .borrow()
            .iter()
            .filter(|(_, pinned)| now.saturating_since(pinned.used_at) >= limit)
            .map(|(pin, _)| *pin)
            .collect();
        for pin in ended {
            event::TRANSACTION_ENDED.log(format_args!("forwarded={pin} cause=rest_or_stop"));
            self.release(pin);
        }
    }
}
