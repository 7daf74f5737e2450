use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::gateway::DelayEstimator;
use mustardhinge_core::placement::HomeRegions;
use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_process::event;
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;

use super::forwarded_run::ForwardedRun;
use super::{ForwardedOutcome, ForwardedStatement, GatewayFrame, NotRunCause, OriginFrame};
use crate::adapter::SessionCodec;
use crate::node::NodeState;
use crate::target::{TargetHandle, TargetLease};

/// Maximum number of statements of one origin that are queued or running; more are refused at once.
const MAX_RUNNING_STATEMENTS: usize = 512;
/// Retry delay when this limit is reached.
const FULL_RETRY_DELAY_MS: u32 = 150;

/// Gateway side of a connection from an origin, an instance that forwards statements.
#[derive(Debug)]
pub(super) struct OriginSession {
    node: Rc<NodeState>,
    incarnation: u64,
    sender: mpsc::UnboundedSender<GatewayFrame>,
    unsent_frames: Cell<usize>,
    delay_estimator: RefCell<DelayEstimator>,
    /// The running statements, with the transaction that each one belongs to.
    running: RefCell<HashMap<u64, Option<u64>>>,
    cancelled: RefCell<HashSet<u64>>,
    became_cancelled: Notify,
    pins: RefCell<HashMap<u64, PinnedLease>>,
    is_closed: Cell<bool>,
}

/// A leased connection with an open transaction of a session at the origin.
#[derive(Debug)]
struct PinnedLease {
    lease: TargetLease,
    used_at: MonotonicTime,
}

impl OriginSession {
    /// Creates the session of an origin; response frames are sent to `sender`.
    pub(super) fn new(
        node: Rc<NodeState>,
        incarnation: u64,
        sender: mpsc::UnboundedSender<GatewayFrame>,
    ) -> Self {
        Self {
            node,
            incarnation,
            sender,
            unsent_frames: Cell::new(0),
            delay_estimator: RefCell::default(),
            running: RefCell::default(),
            cancelled: RefCell::default(),
            became_cancelled: Notify::new(),
            pins: RefCell::default(),
            is_closed: Cell::new(false),
        }
    }

    /// Returns the state of this instance.
    pub(super) const fn node(&self) -> &Rc<NodeState> {
        &self.node
    }

    /// Returns the number of queued frames that are not yet written to the connection.
    pub(super) const fn unsent_frames(&self) -> usize {
        self.unsent_frames.get()
    }

    /// Records that `count` frames were written to the connection.
    pub(super) fn record_written(&self, count: usize) {
        let count = count.min(self.unsent_frames.get());
        self.add_unsent(-(count as isize));
    }

    fn add_unsent(&self, change: isize) {
        for frames in [&self.unsent_frames, &self.node.unsent_frames] {
            frames.set(frames.get().saturating_add_signed(change));
        }
    }

    /// Returns whether the origin no longer waits for the response to a statement.
    pub(super) fn is_cancelled(&self, number: u64) -> bool {
        self.is_closed.get() || self.cancelled.borrow().contains(&number)
    }

    /// Waits until the origin no longer waits for the response to a statement.
    pub(super) async fn wait_until_cancelled(&self, number: u64) {
        while !self.is_cancelled(number) {
            self.became_cancelled.notified().await;
        }
    }

    /// Closes the session when its connection ends. Returns the numbers of abandoned transactions
    /// and of statements that are still running.
    pub(super) fn close(&self) -> (usize, usize) {
        self.is_closed.set(true);
        self.became_cancelled.notify_waiters();
        let pinned = self.pins.take().len();
        self.add_forwarded(-(pinned as isize));
        self.record_written(self.unsent_frames.get());
        (pinned, self.running.borrow().len())
    }

    /// Queues a frame to the origin.
    pub(super) fn send(&self, frame: GatewayFrame) {
        // If the connection is closed, the frame is dropped.
        if self.sender.send(frame).is_ok() && !self.is_closed.get() {
            self.add_unsent(1);
        }
    }

    fn add_forwarded(&self, change: isize) {
        let count = &self.node.forwarded_work;
        count.set(count.get().saturating_add_signed(change));
    }

    /// Handles a frame from the origin.
    pub(super) fn handle_frame<W: SessionCodec>(self: &Rc<Self>, frame: OriginFrame) {
        match frame {
            OriginFrame::Ping => self.send(GatewayFrame::Pong),
            OriginFrame::Cancel { number } => self.cancel(number),
            OriginFrame::Release { pin } => self.release(pin),
            OriginFrame::Work(statement) => self.handle_statement::<W>(*statement, None),
            OriginFrame::HomeWork { homes, statement } => {
                self.handle_statement::<W>(*statement, Some(Rc::new(homes)));
            }
            OriginFrame::RequestZone => {
                self.send(GatewayFrame::Zone(self.node.settings.zone.clone()));
            }
        }
    }

    fn cancel(&self, number: u64) {
        if self.running.borrow().contains_key(&number) {
            self.cancelled.borrow_mut().insert(number);
            self.became_cancelled.notify_waiters();
        }
    }

    /// Abandons a transaction, including the statement of it that is running: its lease is not in
    /// `pins` meanwhile.
    fn release(&self, pin: u64) {
        let running: Vec<_> = self
            .running
            .borrow()
            .iter()
            .filter(|(number, transaction)| **number == pin || **transaction == Some(pin))
            .map(|(number, _)| *number)
            .collect();
        for number in running {
            self.cancel(number);
        }
        if self.pins.borrow_mut().remove(&pin).is_some() {
            self.add_forwarded(-1);
        }
    }

    /// Abandons the transaction of a statement that got no reply. The origin has ended it as well.
    fn abandon(&self, transaction: Option<u64>) {
        if let Some(pin) = transaction {
            self.release(pin);
        }
    }

    fn handle_statement<W: SessionCodec>(
        self: &Rc<Self>,
        statement: ForwardedStatement,
        homes: Option<Rc<HomeRegions>>,
    ) {
        let now = self.node.clock.now();
        let sent_at = MonotonicTime::from_micros(statement.sent_at);
        let delay = self.delay_estimator.borrow_mut().delay(sent_at, now);
        let number = statement.number;
        if self.running.borrow().len() >= MAX_RUNNING_STATEMENTS {
            let cause = NotRunCause::Full {
                retry_ms: FULL_RETRY_DELAY_MS,
            };
            self.abandon(statement.step.pin());
            return self.respond(number, None, ForwardedOutcome::NotRun(cause));
        }
        let transaction = statement.step.pin();
        self.running.borrow_mut().insert(number, transaction);
        self.add_forwarded(1);
        let session = Rc::clone(self);
        spawn_local(async move {
            let target = session.find_target(&statement);
            let outcome = match &target {
                Some(target) => {
                    let run = ForwardedRun::new(statement, session.incarnation, now - delay);
                    let run = run.home_regions(homes);
                    run.run::<W>(&session, target).await
                }
                None => ForwardedOutcome::NotRun(NotRunCause::TargetUnknown),
            };
            let outcome = outcome.limit_size();
            session.running.borrow_mut().remove(&number);
            session.cancelled.borrow_mut().remove(&number);
            if !matches!(outcome, ForwardedOutcome::Replied(_)) {
                session.abandon(transaction);
            }
            session.respond(number, target.as_deref(), outcome);
            session.add_forwarded(-1);
        });
    }

    fn find_target(&self, statement: &ForwardedStatement) -> Option<Rc<TargetHandle>> {
        self.node
            .find_group(&statement.service)?
            .find(&statement.target)
    }

    fn respond(&self, number: u64, target: Option<&TargetHandle>, answer: ForwardedOutcome) {
        let now = self.node.clock.now();
        let load = target.map(|target| target.local_load(now));
        self.send(GatewayFrame::Answer {
            number,
            load: load.unwrap_or_default(),
            answer,
        });
    }

    /// Removes and returns the lease of an open transaction.
    pub(super) fn take_pinned(&self, pin: u64) -> Option<TargetLease> {
        let pinned = self.pins.borrow_mut().remove(&pin)?;
        self.add_forwarded(-1);
        Some(pinned.lease)
    }

    /// Stores the lease of an open transaction until its next statement.
    ///
    /// If the origin has cancelled `number`, the statement that just ran, it has abandoned the
    /// transaction. The connection is then closed, and the target rolls back.
    pub(super) fn pin(&self, pin: u64, number: u64, lease: TargetLease, now: MonotonicTime) {
        if self.is_cancelled(number) {
            return;
        }
        let pinned = PinnedLease {
            lease,
            used_at: now,
        };
        self.add_forwarded(1);
        self.pins.borrow_mut().insert(pin, pinned);
    }

    /// Abandons the transactions that have been idle for `limit`, and removes those that were ended
    /// for their connections, whose end is already logged.
    pub(super) fn expire_transactions(&self, limit: Duration) {
        let now = self.node.clock.now();
        let ended: Vec<_> = self
            .pins
            .borrow_mut()
            .extract_if(|_, pinned| pinned.lease.is_ended())
            .collect();
        self.add_forwarded(-(ended.len() as isize));
        drop(ended);
        let expired: Vec<_> = self
            .pins
            .borrow()
            .iter()
            .filter(|(_, pinned)| now.saturating_since(pinned.used_at) >= limit)
            .map(|(pin, _)| *pin)
            .collect();
        for pin in expired {
            event::TRANSACTION_ENDED.log(format_args!("forwarded={pin} cause=rest_or_stop"));
            self.release(pin);
        }
    }
}
