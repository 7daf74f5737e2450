use std::cell::{Cell, RefCell};
use std::time::Duration;

use mustardhinge_core::prelude::{CustomerId, MonotonicTime};
use mustardhinge_core::queue::{
    FairQueue, PopOutcome, PushOutcome, QueueLimits, QueueTicket, SlotWindow, WaitingItem,
};
use tokio::sync::oneshot;

use super::{LinkNeed, TargetLink};

/// Statements of one customer that follow one another. With more, a flood of one customer
/// pushes the others aside (`mustardhinge-bench policies`, load `flood`), and saves few
/// connections.
const TURN_STATEMENTS: u32 = 1;
/// Cost of a statement in the line.
const STATEMENT_COST: u32 = 1;
/// What a statement is taken to need before any was measured: a usual service time.
const FIRST_SERVICE: Duration = Duration::from_millis(20);

/// Part of its time, in quarters, that a statement may be expected to wait: expectations are
/// means, and about half of the statements wait for longer.
const WAIT_QUARTERS: u32 = 3;

/// What a session gets when it is its turn.
#[derive(Debug)]
pub(super) enum LinkTurn {
    /// An idle connection of its customer.
    Idle(Box<TargetLink>),
    /// Room for one more connection, counted already.
    Open,
}

/// One session that waits for its turn.
#[derive(Debug)]
pub(super) struct LineWaiter {
    /// The session, to find a connection that it used before.
    pub session: u64,
    /// Takes its turn; dropped if it is refused.
    pub turn: oneshot::Sender<LinkTurn>,
}

/// The work of this instance at one target: what runs, and what waits for it here.
#[derive(Debug)]
pub(super) struct TargetLine {
    waiting: RefCell<FairQueue<LineWaiter>>,
    window: Cell<SlotWindow>,
    running: Cell<usize>,
    granted: Cell<usize>,
}

impl TargetLine {
    /// Makes the line of a target that runs `slots` statements at once.
    pub(super) fn new(slots: usize) -> Self {
        let limits = QueueLimits::new()
            .quantum(TURN_STATEMENTS)
            .initial_service_time(FIRST_SERVICE)
            .slots(u32::try_from(slots).unwrap_or(1));
        Self {
            waiting: RefCell::new(FairQueue::new(limits)),
            window: Cell::new(SlotWindow::new(slots)),
            running: Cell::new(0),
            granted: Cell::new(0),
        }
    }

    /// Returns how many statements run at the target, or wait for it here.
    pub(super) fn load(&self) -> usize {
        self.running.get() + self.granted.get() + self.waiting.borrow().len()
    }

    /// Returns whether nobody waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Returns whether one more statement may go to the target.
    pub(super) fn has_slot(&self) -> bool {
        self.running.get() + self.granted.get() < self.window.get().size()
    }

    /// Counts a turn as given.
    pub(super) fn grant(&self) {
        self.granted.set(self.granted.get() + 1);
    }

    /// Counts a turn as used up or given back.
    pub(super) fn end_grant(&self) {
        self.granted.set(self.granted.get().saturating_sub(1));
    }

    /// Counts a statement that the target begins to work on.
    pub(super) fn begin_work(&self) {
        self.running.set(self.running.get() + 1);
    }

    /// Counts a statement that it no longer works on.
    pub(super) fn end_work(&self) {
        self.running.set(self.running.get().saturating_sub(1));
    }

    /// Takes an answer that took `took`, of which up to `patience` is well.
    pub(super) fn note_answer(&self, took: Duration, patience: Duration, now: MonotonicTime) {
        let mut window = self.window.get();
        window.record_response((took, patience), self.running.get() + 1, now);
        self.window.set(window);
        let mut waiting = self.waiting.borrow_mut();
        waiting.record_service(STATEMENT_COST, took);
        waiting.set_slots(u32::try_from(window.size()).unwrap_or(u32::MAX));
    }

    /// Takes that the target turned a statement away, being full.
    pub(super) fn note_full(&self, usual: Duration, now: MonotonicTime) {
        let mut window = self.window.get();
        window.record_refusal(usual, now);
        self.window.set(window);
        let size = u32::try_from(window.size()).unwrap_or(u32::MAX);
        self.waiting.borrow_mut().set_slots(size);
    }

    /// Lets a session wait for its turn, unless that can't come in time.
    ///
    /// # Errors
    ///
    /// Says when the session should come back.
    pub(super) fn enter(
        &self,
        need: &LinkNeed,
        now: MonotonicTime,
    ) -> Result<(QueueTicket, oneshot::Receiver<LinkTurn>), Duration> {
        let (turn, granted) = oneshot::channel();
        let arrival = WaitingItem {
            customer: need.customer.clone(),
            deadline: now + need.wait * WAIT_QUARTERS / 4,
            cost: STATEMENT_COST,
            item: LineWaiter {
                session: need.session,
                turn,
            },
        };
        // Those that are displaced or late learn it from the dropped sender.
        match self.waiting.borrow_mut().push(arrival, now) {
            PushOutcome::Queued { ticket, .. } => Ok((ticket, granted)),
            PushOutcome::Refused(refusal) => Err(refusal.retry_after.get()),
        }
    }

    /// Takes a session out that no longer waits.
    pub(super) fn leave(&self, ticket: &QueueTicket) {
        self.waiting.borrow_mut().cancel(ticket);
    }

    /// Takes out the session whose turn it is, with its customer.
    pub(super) fn next(&self, now: MonotonicTime) -> Option<(CustomerId, LineWaiter)> {
        let mut waiting = self.waiting.borrow_mut();
        while let Some(outcome) = waiting.pop(now) {
            match outcome {
                PopOutcome::Ready(ready) if !ready.item.turn.is_closed() => {
                    return Some((ready.customer, ready.item));
                }
                PopOutcome::Ready(_) | PopOutcome::Expired(_) => {}
            }
        }
        None
    }

    /// Sends all away who wait, since the target fails or is gone.
    pub(super) fn dissolve(&self, now: MonotonicTime) {
        while self.next(now).is_some() {}
    }
}
