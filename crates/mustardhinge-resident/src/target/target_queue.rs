use std::cell::{Cell, RefCell};
use std::time::Duration;

use mustardhinge_core::prelude::{CustomerId, MonotonicTime};
use mustardhinge_core::queue::{
    FairQueue, PopOutcome, PushOutcome, QueueLimits, QueueTicket, SlotWindow, WaitingItem,
};
use tokio::sync::oneshot;

use super::{ConnectionRequest, TargetConnection};

/// Statements of one customer that are granted in succession. With a higher value, a flood from one
/// customer displaces the statements of others (`mustardhinge-bench policies`, load `flood`), and
/// few connections are saved.
const QUANTUM_STATEMENTS: u32 = 1;
/// Cost of a statement in the fair queue.
const STATEMENT_COST: u32 = 1;
/// Assumed service time until the first measurement; a typical value.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Maximum expected wait of a queued statement, in quarters of its allowed wait. The expected wait
/// is a mean, and about half of the statements wait longer.
const EXPECTED_WAIT_QUARTERS: u32 = 3;

/// A slot granted to a session, with the connection to use.
#[derive(Debug)]
pub(super) enum ConnectionGrant {
    /// An idle connection of the session's customer.
    Idle(Box<TargetConnection>),
    /// Permission to open one more connection, which the pool already counts as open.
    Open,
}

/// A session that waits for a slot.
#[derive(Debug)]
pub(super) struct WaitingSession {
    /// The session number, used to prefer a connection that the session used before.
    pub session: u64,
    /// Receives the grant; dropped without one if the session is rejected.
    pub grant: oneshot::Sender<ConnectionGrant>,
}

/// Fair queue in front of one target, with a window that limits the statements that this instance
/// runs there concurrently.
#[derive(Debug)]
pub(super) struct TargetQueue {
    waiting: RefCell<FairQueue<WaitingSession>>,
    window: Cell<SlotWindow>,
    running: Cell<usize>,
    reserved: Cell<usize>,
}

impl TargetQueue {
    /// Creates the queue of a target that runs `slots` statements concurrently.
    pub(super) fn new(slots: usize) -> Self {
        let limits = QueueLimits::new()
            .quantum(QUANTUM_STATEMENTS)
            .initial_service_time(INITIAL_SERVICE_TIME)
            .slots(u32::try_from(slots).unwrap_or(1));
        Self {
            waiting: RefCell::new(FairQueue::new(limits)),
            window: Cell::new(SlotWindow::new(slots)),
            running: Cell::new(0),
            reserved: Cell::new(0),
        }
    }

    /// Returns the number of statements that run at the target, hold a reserved slot or are queued.
    pub(super) fn load(&self) -> usize {
        self.running.get() + self.reserved.get() + self.waiting.borrow().len()
    }

    /// Returns whether no session is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Returns whether the window allows one more statement at the target.
    pub(super) fn has_free_slot(&self) -> bool {
        self.running.get() + self.reserved.get() < self.window.get().size()
    }

    /// Reserves a slot for a granted lease.
    pub(super) fn reserve_slot(&self) {
        self.reserved.set(self.reserved.get() + 1);
    }

    /// Releases a reserved slot, after its statement has started or the lease was returned unused.
    pub(super) fn release_reservation(&self) {
        self.reserved.set(self.reserved.get().saturating_sub(1));
    }

    /// Counts a statement that starts at the target.
    pub(super) fn begin_statement(&self) {
        self.running.set(self.running.get() + 1);
    }

    /// Counts a statement that has ended at the target.
    pub(super) fn end_statement(&self) {
        self.running.set(self.running.get().saturating_sub(1));
    }

    /// Records a response that arrived after `elapsed`; beyond `slow_after` it shrinks the window.
    pub(super) fn record_response(
        &self,
        elapsed: Duration,
        slow_after: Duration,
        now: MonotonicTime,
    ) {
        let mut window = self.window.get();
        window.record_response((elapsed, slow_after), self.running.get() + 1, now);
        self.window.set(window);
        let mut waiting = self.waiting.borrow_mut();
        waiting.record_service(STATEMENT_COST, elapsed);
        waiting.set_slots(u32::try_from(window.size()).unwrap_or(u32::MAX));
    }

    /// Records that the target refused a statement because it is busy.
    pub(super) fn record_busy(&self, typical_latency: Duration, now: MonotonicTime) {
        let mut window = self.window.get();
        window.record_refusal(typical_latency, now);
        self.window.set(window);
        let size = u32::try_from(window.size()).unwrap_or(u32::MAX);
        self.waiting.borrow_mut().set_slots(size);
    }

    /// Queues a session that waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the retry delay if no slot is expected in time.
    pub(super) fn push(
        &self,
        request: &ConnectionRequest,
        now: MonotonicTime,
    ) -> Result<(QueueTicket, oneshot::Receiver<ConnectionGrant>), Duration> {
        let (grant, granted) = oneshot::channel();
        let item = WaitingItem {
            customer: request.customer.clone(),
            deadline: now + request.wait * EXPECTED_WAIT_QUARTERS / 4,
            cost: STATEMENT_COST,
            item: WaitingSession {
                session: request.session,
                grant,
            },
        };
        // Displaced and expired sessions are notified by their dropped sender.
        match self.waiting.borrow_mut().push(item, now) {
            PushOutcome::Queued { ticket, .. } => Ok((ticket, granted)),
            PushOutcome::Refused(refusal) => Err(refusal.retry_after.get()),
        }
    }

    /// Removes a session that no longer waits.
    pub(super) fn cancel(&self, ticket: &QueueTicket) {
        self.waiting.borrow_mut().cancel(ticket);
    }

    /// Removes and returns the next waiting session, with its customer.
    pub(super) fn pop(&self, now: MonotonicTime) -> Option<(CustomerId, WaitingSession)> {
        let mut waiting = self.waiting.borrow_mut();
        while let Some(outcome) = waiting.pop(now) {
            match outcome {
                PopOutcome::Ready(ready) if !ready.item.grant.is_closed() => {
                    return Some((ready.customer, ready.item));
                }
                PopOutcome::Ready(_) | PopOutcome::Expired(_) => {}
            }
        }
        None
    }

    /// Rejects all waiting sessions, after the target has failed or was removed.
    pub(super) fn reject_all(&self, now: MonotonicTime) {
        while self.pop(now).is_some() {}
    }
}
