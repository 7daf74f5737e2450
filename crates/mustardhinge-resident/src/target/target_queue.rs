use std::cell::{Cell, RefCell};
use std::time::Duration;

use mustardhinge_core::prelude::{CustomerId, MonotonicTime};
use mustardhinge_core::queue::{
    FairQueue, PopOutcome, PushOutcome, QueueLimits, QueueTicket, SlotWindow, WaitingItem,
};
use tokio::sync::oneshot;

use super::{LeaseRequest, TargetConnection};

/// Statements of one customer that follow one another. With more, a flood of one customer
/// pushes the others aside (`mustardhinge-bench policies`, load `flood`), and saves few
/// connections.
const QUANTUM_STATEMENTS: u32 = 1;
/// Cost of a statement in the line.
const STATEMENT_COST: u32 = 1;
/// What a statement is taken to need before any was measured: a usual service time.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Part of its time, in quarters, that a statement may be expected to wait: expectations are
/// means, and about half of the statements wait for longer.
const EXPECTED_WAIT_QUARTERS: u32 = 3;

/// What a session gets when it is its turn.
#[derive(Debug)]
pub(super) enum ConnectionGrant {
    /// An idle connection of its customer.
    Idle(Box<TargetConnection>),
    /// Room for one more connection, counted already.
    Open,
}

/// One session that waits for its turn.
#[derive(Debug)]
pub(super) struct WaitingSession {
    /// The session, to find a connection that it used before.
    pub session: u64,
    /// Takes its turn; dropped if it is refused.
    pub grant: oneshot::Sender<ConnectionGrant>,
}

/// The work of this instance at one target: what runs, and what waits for it here.
#[derive(Debug)]
pub(super) struct TargetQueue {
    waiting: RefCell<FairQueue<WaitingSession>>,
    window: Cell<SlotWindow>,
    running: Cell<usize>,
    reserved: Cell<usize>,
}

impl TargetQueue {
    /// Makes the line of a target that runs `slots` statements at once.
    pub(super) fn new(slots: usize) -> Self {
        let limits = QueueLimits::new()
            .quantum(QUANTUM_STATEMENTS)
            .first_service_time(INITIAL_SERVICE_TIME)
            .slots(u32::try_from(slots).unwrap_or(1));
        Self {
            waiting: RefCell::new(FairQueue::new(limits)),
            window: Cell::new(SlotWindow::new(slots)),
            running: Cell::new(0),
            reserved: Cell::new(0),
        }
    }

    /// Returns how many statements run at the target, or wait for it here.
    pub(super) fn load(&self) -> usize {
        self.running.get() + self.reserved.get() + self.waiting.borrow().len()
    }

    /// Returns whether nobody waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Returns whether one more statement may go to the target.
    pub(super) fn has_free_slot(&self) -> bool {
        self.running.get() + self.reserved.get() < self.window.get().size()
    }

    /// Counts a turn as given.
    pub(super) fn reserve_slot(&self) {
        self.reserved.set(self.reserved.get() + 1);
    }

    /// Counts a turn as used up or given back.
    pub(super) fn release_reservation(&self) {
        self.reserved.set(self.reserved.get().saturating_sub(1));
    }

    /// Counts a statement that the target begins to work on.
    pub(super) fn begin_statement(&self) {
        self.running.set(self.running.get() + 1);
    }

    /// Counts a statement that it no longer works on.
    pub(super) fn end_statement(&self) {
        self.running.set(self.running.get().saturating_sub(1));
    }

    /// Takes an answer that took `took`, of which up to `patience` is well.
    pub(super) fn record_response(
        &self,
        elapsed: Duration,
        slow_after: Duration,
        now: MonotonicTime,
    ) {
        let mut window = self.window.get();
        window.answered((elapsed, slow_after), self.running.get() + 1, now);
        self.window.set(window);
        let mut waiting = self.waiting.borrow_mut();
        waiting.record_service(STATEMENT_COST, elapsed);
        waiting.set_slots(u32::try_from(window.size()).unwrap_or(u32::MAX));
    }

    /// Takes that the target turned a statement away, being full.
    pub(super) fn record_busy(&self, typical_latency: Duration, now: MonotonicTime) {
        let mut window = self.window.get();
        window.turned_away(typical_latency, now);
        self.window.set(window);
        let size = u32::try_from(window.size()).unwrap_or(u32::MAX);
        self.waiting.borrow_mut().set_slots(size);
    }

    /// Lets a session wait for its turn, unless that can't come in time.
    ///
    /// # Errors
    ///
    /// Says when the session should come back.
    pub(super) fn push(
        &self,
        request: &LeaseRequest,
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
        // Those that are displaced or late learn it from the dropped sender.
        match self.waiting.borrow_mut().push(item, now) {
            PushOutcome::Queued { ticket, .. } => Ok((ticket, granted)),
            PushOutcome::Refused(refusal) => Err(refusal.retry_after.get()),
        }
    }

    /// Takes a session out that no longer waits.
    pub(super) fn cancel(&self, ticket: &QueueTicket) {
        self.waiting.borrow_mut().cancel(ticket);
    }

    /// Takes out the session whose turn it is, with its customer.
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

    /// Sends all away who wait, since the target fails or is gone.
    pub(super) fn reject_all(&self, now: MonotonicTime) {
        while self.pop(now).is_some() {}
    }
}
