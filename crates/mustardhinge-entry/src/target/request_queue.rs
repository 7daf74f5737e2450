use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{
    CostEstimates, CustomerWeight, FairQueue, PopOutcome, PriorityItem, PriorityQueue, PushOutcome,
    QueueLimits, SlotCost, WaitLimits, WaitingItem,
};

use super::queue_place::QueueResult;
use super::{LeasedWork, QueuePlace, SlotRequest};

/// Cost of a statement in the fair queue.
const STATEMENT_COST: u32 = 1;

/// Queue of the requests that wait for a connection to one target.
///
/// Requests of a service whose routes have different priorities wait in a queue with priorities,
/// all others in a fair queue without. After a change of the document, the requests that wait in
/// the other queue are served as well.
#[derive(Clone, Debug)]
pub struct RequestQueue<T> {
    fair: FairQueue<T>,
    by_priority: PriorityQueue<T>,
    costs: CostEstimates,
}

impl<T> RequestQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            fair: FairQueue::new(limits),
            by_priority: PriorityQueue::new(limits),
            costs: CostEstimates::default(),
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.fair.len() + self.by_priority.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request that has to wait for a connection.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is not expected to be sent in time or the queue is full.
    pub fn push(&mut self, request: &SlotRequest, item: T, now: MonotonicTime) -> QueueResult<T> {
        match request.weight {
            Some(weight) => self.push_by_priority((request, weight), item, now),
            None => self.push_fair(request, item, now),
        }
    }

    fn push_fair(&mut self, request: &SlotRequest, item: T, now: MonotonicTime) -> QueueResult<T> {
        let arrival = WaitingItem {
            customer: request.customer.clone(),
            deadline: request.deadline,
            cost: STATEMENT_COST,
            item,
        };
        match self.fair.push(arrival, now) {
            PushOutcome::Queued { ticket, displaced } => {
                let place = QueuePlace {
                    priority: None,
                    ticket,
                    wait_until: request.deadline,
                };
                Ok((place, displaced))
            }
            PushOutcome::Refused(refusal) => Err(refusal),
        }
    }

    fn push_by_priority(
        &mut self,
        (request, weight): (&SlotRequest, CustomerWeight),
        item: T,
        now: MonotonicTime,
    ) -> QueueResult<T> {
        // A request that waits gets the connection of the one that ends before it.
        let cost = self.costs.cost_of(request.priority, request.kind);
        let limits = WaitLimits::new(request.deadline.saturating_since(now), cost, now);
        let arrival = PriorityItem {
            customer: request.customer.clone(),
            weight,
            priority: request.priority,
            admit_by: limits.admit_by,
            deadline: limits.deadline,
            cost,
            item,
        };
        match self.by_priority.push(arrival, now) {
            PushOutcome::Queued { ticket, displaced } => {
                let place = QueuePlace {
                    priority: Some(request.priority),
                    ticket,
                    wait_until: limits.deadline,
                };
                Ok((place, displaced))
            }
            PushOutcome::Refused(refusal) => Err(refusal),
        }
    }

    /// Removes and returns the next request, expired ones first.
    pub fn pop(&mut self, now: MonotonicTime) -> Option<PopOutcome<T>> {
        self.fair.pop(now).or_else(|| self.by_priority.pop(now))
    }

    /// Removes and returns the item of a request that is still queued.
    pub fn cancel(&mut self, place: &QueuePlace) -> Option<T> {
        match place.priority {
            None => self.fair.cancel(&place.ticket),
            Some(priority) => self.by_priority.cancel(priority, &place.ticket),
        }
    }

    /// Records a request that gets a slot without waiting, with an idle connection or a new one.
    pub fn record_direct(&mut self, request: &SlotRequest, has_idle: bool, now: MonotonicTime) {
        if request.weight.is_some() {
            let cost = self.direct_cost(request, has_idle);
            self.by_priority.record_demand(request.priority, cost, now);
        }
    }

    /// Returns the expected cost of a request that gets a slot without waiting.
    #[must_use]
    pub fn direct_cost(&self, request: &SlotRequest, has_idle: bool) -> SlotCost {
        let cost = self.costs.cost_of(request.priority, request.kind);
        if has_idle {
            cost
        } else {
            cost + self.costs.opening_cost()
        }
    }

    /// Records that a slot was in use for `elapsed`, for the queue without priorities.
    pub fn record_service(&mut self, elapsed: Duration) {
        self.fair.record_service(STATEMENT_COST, elapsed);
    }

    /// Records the slot time of work that has ended.
    pub fn record_work(&mut self, work: LeasedWork, now: MonotonicTime) {
        let slot_time = now.saturating_since(work.started_at);
        self.costs.record(work.priority, work.kind, slot_time);
    }

    /// Records how long opening a connection took.
    pub fn record_opening(&mut self, elapsed: Duration) {
        self.costs.record_opening(elapsed);
    }

    /// Returns the retry delay of a request that has waited too long, or `None` without priorities.
    #[must_use]
    pub fn retry_delay(&self, request: &SlotRequest, now: MonotonicTime) -> Option<RetryDelay> {
        let delay = || self.by_priority.drain_time(request.priority, now);
        request.weight.map(|_| delay())
    }
}
