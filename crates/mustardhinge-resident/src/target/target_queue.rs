use std::cell::{Cell, RefCell};
use std::time::Duration;

use mustardhinge_core::overload::ObservedCapacity;
use mustardhinge_core::prelude::{CustomerId, MonotonicTime, RetryDelay};
use mustardhinge_core::queue::{
    CostEstimates, CustomerWeight, DepartureCause, FairQueue, PopOutcome, PriorityItem,
    PriorityQueue, PriorityWaits, PushOutcome, QueueLimits, QueueRefusal, SlotCost, SlotWindow,
    WaitLimits, WaitingItem,
};
use tokio::sync::oneshot;

use super::leased_work::LeasedWork;
use super::wait_ticket::WaitTicket;
use super::{ConnectionRequest, TargetConnection};

/// Statements of one customer that are granted in succession. With a higher value, a flood from one
/// customer displaces the statements of others (`mustardhinge-bench policies`, load `flood`), and
/// few connections are saved.
const QUANTUM_STATEMENTS: u32 = 1;
/// Cost of a statement in the fair queue.
const STATEMENT_COST: u32 = 1;
/// Assumed service time until the first measurement; a typical value.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(20);

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
    /// Receives the grant, or the retry delay; dropped without either if the session is rejected
    /// by the fair queue, or because the target failed.
    pub grant: oneshot::Sender<GrantResult>,
}

/// A grant, or why a session left the queue with priorities without one, and its retry delay.
pub(super) type GrantResult = Result<ConnectionGrant, (DepartureCause, Duration)>;

/// The receiver of a waiting session's grant, with the ticket to cancel it.
pub(super) type PendingGrant = (WaitTicket, oneshot::Receiver<GrantResult>);

/// Fair queue in front of one target, with a window that limits the statements that this instance
/// runs there concurrently.
///
/// Under overload control, sessions wait in a queue with priorities instead. After a change of the
/// setting, the sessions that wait in the other queue are served as well.
#[derive(Debug)]
pub(super) struct TargetQueue {
    waiting: RefCell<FairQueue<WaitingSession>>,
    by_priority: RefCell<PriorityQueue<WaitingSession>>,
    costs: RefCell<CostEstimates>,
    window: Cell<SlotWindow>,
    /// What the target can run as observed; without evidence unless overload control is in force.
    capacity: Cell<ObservedCapacity>,
    /// The limit that the queues use for the expected waits.
    applied_limit: Cell<usize>,
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
            by_priority: RefCell::new(PriorityQueue::new(limits)),
            costs: RefCell::default(),
            window: Cell::new(SlotWindow::new(slots)),
            capacity: Cell::new(ObservedCapacity::new(slots)),
            applied_limit: Cell::new(slots),
            running: Cell::new(0),
            reserved: Cell::new(0),
        }
    }

    /// Returns the number of statements that run at the target, hold a reserved slot or are queued.
    pub(super) fn load(&self) -> usize {
        self.running.get() + self.reserved.get() + self.waiting_count()
    }

    fn waiting_count(&self) -> usize {
        self.waiting.borrow().len() + self.by_priority.borrow().len()
    }

    /// Returns whether no session is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting_count() == 0
    }

    /// Returns whether the window and the observed capacity allow one more statement at the target.
    pub(super) fn has_free_slot(&self, now: MonotonicTime) -> bool {
        self.running.get() + self.reserved.get() < self.limit(now)
    }

    /// Returns the number of statements that this instance may have at the target. The window alone
    /// limits it unless the target has shed statements below its listed slots.
    fn limit(&self, now: MonotonicTime) -> usize {
        let capacity = self.capacity.get();
        let (window, slots) = (self.window.get().size(), capacity.slots(now));
        if slots < capacity.listed() {
            window.min(slots)
        } else {
            window
        }
    }

    /// Returns the number of statements that this instance runs at the target.
    pub(super) const fn running(&self) -> usize {
        self.running.get()
    }

    /// Records that the target shed a statement while `in_flight` were there, including this one.
    pub(super) fn record_shed(&self, in_flight: usize, now: MonotonicTime) {
        let mut capacity = self.capacity.get();
        capacity.record_shed(in_flight, now);
        self.capacity.set(capacity);
        self.apply_limit(now);
    }

    /// Records a statement that the target completed.
    pub(super) fn record_completed(&self, now: MonotonicTime) {
        let mut capacity = self.capacity.get();
        capacity.record_completed(now);
        self.capacity.set(capacity);
        self.apply_limit(now);
    }

    /// Returns the effective slots of the target.
    pub(super) fn effective_slots(&self, now: MonotonicTime) -> usize {
        self.capacity.get().slots(now)
    }

    /// Forgets what was observed of a target that runs `slots` statements according to its entry.
    pub(super) fn reset_capacity(&self, slots: usize) {
        self.capacity.set(ObservedCapacity::new(slots));
        // Without evidence, the limit doesn't depend on the time.
        self.apply_limit(MonotonicTime::default());
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
        self.waiting
            .borrow_mut()
            .record_service(STATEMENT_COST, elapsed);
        self.apply_limit(now);
    }

    /// Applies the limit to the expected waits. It also changes with time, as the observed capacity
    /// rises and its evidence expires.
    fn apply_limit(&self, now: MonotonicTime) {
        let limit = self.limit(now);
        if self.applied_limit.replace(limit) == limit {
            return;
        }
        let slots = u32::try_from(limit).unwrap_or(u32::MAX);
        self.waiting.borrow_mut().set_slots(slots);
        self.by_priority.borrow_mut().set_slots(slots);
    }

    /// Records the slot time of a completed lease.
    pub(super) fn record_work(&self, work: LeasedWork) {
        self.costs
            .borrow_mut()
            .record(work.priority, work.kind, work.slot_time);
    }

    /// Records how long opening a connection took.
    pub(super) fn record_opening(&self, elapsed: Duration) {
        self.costs.borrow_mut().record_opening(elapsed);
    }

    /// Returns the expected cost of a request, with or without opening a connection.
    pub(super) fn cost_of(&self, request: &ConnectionRequest, has_idle: bool) -> SlotCost {
        let costs = self.costs.borrow();
        let cost = costs.cost_of(request.priority, request.kind);
        if has_idle {
            cost
        } else {
            cost + costs.opening_cost()
        }
    }

    /// Records a request that got a slot without waiting.
    pub(super) fn record_demand(
        &self,
        request: &ConnectionRequest,
        has_idle: bool,
        now: MonotonicTime,
    ) {
        if request.weight.is_some() {
            let cost = self.cost_of(request, has_idle);
            let mut queue = self.by_priority.borrow_mut();
            queue.record_demand(request.priority, cost, now);
        }
    }

    /// Returns the expected wait of an arrival, by priority.
    pub(super) fn reported_waits(&self, now: MonotonicTime) -> PriorityWaits {
        self.apply_limit(now);
        self.by_priority.borrow().reported_waits(now)
    }

    /// Returns the retry delay of a request that has waited too long, or `None` without overload
    /// control.
    pub(super) fn retry_delay(
        &self,
        request: &ConnectionRequest,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let queue = self.by_priority.borrow();
        request
            .weight
            .map(|_| queue.drain_time(request.priority, now).get())
    }

    /// Records that the target refused a statement because it is busy.
    pub(super) fn record_busy(&self, typical_latency: Duration, now: MonotonicTime) {
        let mut window = self.window.get();
        window.record_refusal(typical_latency, now);
        self.window.set(window);
        self.apply_limit(now);
    }

    /// Queues a session that waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the retry delay if no slot is expected in time.
    pub(super) fn push(
        &self,
        request: &ConnectionRequest,
        has_idle: bool,
        now: MonotonicTime,
    ) -> Result<PendingGrant, Duration> {
        self.apply_limit(now);
        match request.weight {
            Some(weight) => self.push_by_priority((request, weight), has_idle, now),
            None => self.push_fair(request, now),
        }
    }

    fn push_fair(
        &self,
        request: &ConnectionRequest,
        now: MonotonicTime,
    ) -> Result<PendingGrant, Duration> {
        let (item, granted) = fair_item(request, now);
        // Displaced and expired sessions are notified by their dropped sender.
        match self.waiting.borrow_mut().push(item, now) {
            PushOutcome::Queued { ticket, .. } => Ok((WaitTicket::Fair(ticket), granted)),
            PushOutcome::Refused(refusal) => Err(refusal.retry_after.get()),
        }
    }

    fn push_by_priority(
        &self,
        (request, weight): (&ConnectionRequest, CustomerWeight),
        has_idle: bool,
        now: MonotonicTime,
    ) -> Result<PendingGrant, Duration> {
        let (item, granted) = self.priority_item((request, weight), has_idle, now);
        match self.by_priority.borrow_mut().push(item, now) {
            PushOutcome::Queued { ticket, displaced } => {
                if let Some(refusal) = displaced {
                    notify_refused(refusal);
                }
                Ok((WaitTicket::Priority(request.priority, ticket), granted))
            }
            PushOutcome::Refused(refusal) => Err(refusal.retry_after.get()),
        }
    }

    fn priority_item(
        &self,
        (request, weight): (&ConnectionRequest, CustomerWeight),
        has_idle: bool,
        now: MonotonicTime,
    ) -> (PriorityItem<WaitingSession>, oneshot::Receiver<GrantResult>) {
        let (grant, granted) = oneshot::channel();
        let cost = self.cost_of(request, has_idle);
        let limits = WaitLimits::new(request.wait, cost, now);
        let item = PriorityItem {
            customer: request.customer.clone(),
            weight,
            priority: request.priority,
            admit_by: limits.admit_by,
            deadline: limits.deadline,
            cost,
            item: WaitingSession {
                session: request.session,
                grant,
            },
        };
        (item, granted)
    }

    /// Returns how long a session would be expected to wait if it were queued now.
    ///
    /// # Errors
    ///
    /// Returns the retry delay if the session would be refused.
    pub(super) fn preview(
        &self,
        request: &ConnectionRequest,
        has_idle: bool,
        now: MonotonicTime,
    ) -> Result<Duration, Duration> {
        self.apply_limit(now);
        let preview = match request.weight {
            Some(weight) => {
                let (item, _) = self.priority_item((request, weight), has_idle, now);
                self.by_priority.borrow().preview(&item, now)
            }
            None => {
                let (item, _) = fair_item(request, now);
                self.waiting.borrow().preview(&item, now)
            }
        };
        preview.map_err(RetryDelay::get)
    }

    /// Removes a session that no longer waits.
    pub(super) fn cancel(&self, ticket: &WaitTicket) {
        match ticket {
            WaitTicket::Fair(ticket) => {
                self.waiting.borrow_mut().cancel(ticket);
            }
            WaitTicket::Priority(priority, ticket) => {
                self.by_priority.borrow_mut().cancel(*priority, ticket);
            }
        }
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
        let mut by_priority = self.by_priority.borrow_mut();
        while let Some(outcome) = by_priority.pop(now) {
            match outcome {
                PopOutcome::Ready(ready) if !ready.item.grant.is_closed() => {
                    return Some((ready.customer, ready.item));
                }
                PopOutcome::Ready(_) => {}
                PopOutcome::Expired(refusal) => notify_refused(refusal),
            }
        }
        None
    }

    /// Refuses the sessions whose deadline has passed in the queue with priorities.
    pub(super) fn refuse_expired(&self, now: MonotonicTime) {
        let mut queue = self.by_priority.borrow_mut();
        while let Some(refusal) = queue.pop_expired(now) {
            notify_refused(refusal);
        }
    }

    /// Rejects all waiting sessions, after the target has failed or was removed.
    pub(super) fn reject_all(&self, now: MonotonicTime) {
        while self.pop(now).is_some() {}
    }
}

fn fair_item(
    request: &ConnectionRequest,
    now: MonotonicTime,
) -> (WaitingItem<WaitingSession>, oneshot::Receiver<GrantResult>) {
    let (grant, granted) = oneshot::channel();
    let item = WaitingItem {
        customer: request.customer.clone(),
        deadline: now + request.max_expected_wait(),
        cost: STATEMENT_COST,
        item: WaitingSession {
            session: request.session,
            grant,
        },
    };
    (item, granted)
}

/// Sends the retry delay to a session that was evicted or expired.
fn notify_refused(refusal: QueueRefusal<WaitingSession>) {
    // The session may have stopped waiting.
    let _ = refusal
        .refused
        .item
        .grant
        .send(Err((refusal.reason.into(), refusal.retry_after.get())));
}
