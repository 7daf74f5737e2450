use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::customer_queue::{CustomerQueue, PendingItem};
use super::queue_ticket::ItemRank;
use super::{
    PopOutcome, PushOutcome, QueueLimits, QueueRefusal, QueueTicket, QueuedItem,
    ServiceTimeEstimate, WaitingItem,
};
use crate::ids::CustomerId;
use crate::outcome::{RefusalReason, RetryDelay};
use crate::units::MonotonicTime;

/// A bounded queue that is fair between customers.
///
/// Customers are served by deficit round robin, and the items of each customer
/// by earliest deadline first. An item that cannot meet its deadline is refused
/// on arrival. When the queue is full, an item of the customer with the longest
/// queue is refused instead, so that a flood by one customer causes no refusals
/// for others.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    estimate: ServiceTimeEstimate,
    customer_queues: BTreeMap<CustomerId, CustomerQueue<T>>,
    active_customers: VecDeque<CustomerId>,
    length: usize,
    next_sequence: u64,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            estimate: ServiceTimeEstimate::new(limits.get_initial_service_time()),
            limits,
            customer_queues: BTreeMap::new(),
            active_customers: VecDeque::new(),
            length: 0,
            next_sequence: 0,
        }
    }

    /// Adds an item, or refuses it if it cannot meet its deadline or the queue is full.
    pub fn push(&mut self, arrival: WaitingItem<T>, now: MonotonicTime) -> PushOutcome<T> {
        let late_by = self.expected_lateness(&arrival, now);
        if !late_by.is_zero() {
            return PushOutcome::Refused(refusal(&arrival.customer, arrival.item, late_by));
        }
        if self.length < self.limits.get_capacity() {
            let ticket = self.insert(arrival);
            return PushOutcome::Queued {
                ticket,
                displaced: None,
            };
        }
        match self.make_room_for(&arrival.customer) {
            None => PushOutcome::Refused(self.full_refusal(arrival)),
            displaced => {
                let ticket = self.insert(arrival);
                PushOutcome::Queued { ticket, displaced }
            }
        }
    }

    /// Returns whether [`push`](Self::push) would queue an item now, and how long it would then be
    /// expected to wait.
    ///
    /// # Errors
    ///
    /// Returns the retry delay if the item would be refused.
    pub fn preview(
        &self,
        arrival: &WaitingItem<T>,
        now: MonotonicTime,
    ) -> Result<Duration, RetryDelay> {
        let late_by = self.expected_lateness(arrival, now);
        if !late_by.is_zero() {
            return Err(RetryDelay::new(late_by));
        }
        let has_room =
            self.length < self.limits.get_capacity() || self.evictable(&arrival.customer).is_some();
        if !has_room {
            return Err(RetryDelay::new(self.drain_time()));
        }
        Ok(self.expected_wait(&arrival.customer, arrival.deadline))
    }

    /// Removes and returns the next item: an expired one if there is any,
    /// otherwise the next by deficit round robin.
    pub fn pop(&mut self, now: MonotonicTime) -> Option<PopOutcome<T>> {
        if let Some(expired) = self.pop_expired(now) {
            return Some(PopOutcome::Expired(expired));
        }
        let customer = self.next_customer()?;
        let rank = self.customer_queues.get(&customer)?.first_rank()?;
        let item = self.remove(&customer, rank)?;
        if let Some(queue) = self.customer_queues.get_mut(&customer) {
            queue.deficit = queue.deficit.saturating_sub(u64::from(item.cost));
        }
        let item = item.item;
        Some(PopOutcome::Ready(QueuedItem { customer, item }))
    }

    /// Removes and returns an item whose deadline has passed, so that its caller
    /// gets the refusal without further delay.
    pub fn pop_expired(&mut self, now: MonotonicTime) -> Option<QueueRefusal<T>> {
        let passed = |queue: &CustomerQueue<T>| queue.first_rank().filter(|r| r.deadline <= now);
        let (customer, rank) = self
            .customer_queues
            .iter()
            .find_map(|(customer, queue)| Some((customer.clone(), passed(queue)?)))?;
        let item = self.remove(&customer, rank)?.item;
        Some(QueueRefusal {
            refused: QueuedItem { customer, item },
            reason: RefusalReason::DeadlinePassed,
            retry_after: RetryDelay::new(self.drain_time()),
        })
    }

    /// Removes and returns the item of a ticket if it is still queued.
    pub fn cancel(&mut self, ticket: &QueueTicket) -> Option<T> {
        self.remove(&ticket.customer, ticket.rank)
            .map(|item| item.item)
    }

    /// Records the time that work of this cost took at the target.
    pub fn record_service(&mut self, cost: u32, took: Duration) {
        self.estimate.record(cost, took);
    }

    /// Sets the number of concurrent statements that the wait estimate assumes.
    pub const fn set_slots(&mut self, slots: u32) {
        self.limits = self.limits.slots(slots);
    }

    /// Returns the earliest deadline of all waiting items.
    #[must_use]
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        let deadline = |queue: &CustomerQueue<T>| queue.first_rank().map(|rank| rank.deadline);
        self.customer_queues.values().filter_map(deadline).min()
    }

    /// Returns the number of waiting items.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Estimates how long a new item of this customer with this deadline would
    /// wait.
    ///
    /// The customer's own items that are due no later are served first. In the
    /// meantime, round robin serves each other customer at most the same cost plus
    /// one quantum.
    #[must_use]
    pub fn expected_wait(&self, customer: &CustomerId, deadline: MonotonicTime) -> Duration {
        let own = self
            .customer_queues
            .get(customer)
            .map_or(0, |queue| queue.cost_before(deadline));
        let turn = own + u64::from(self.limits.get_quantum());
        let others = self
            .customer_queues
            .iter()
            .filter(|(other, _)| *other != customer);
        let ahead: u64 = others
            .map(|(_, queue)| queue.get_total_cost().min(turn))
            .sum();
        let slots = self.limits.get_slots();
        self.estimate.time_for(own + ahead) / slots
    }

    fn expected_lateness(&self, arrival: &WaitingItem<T>, now: MonotonicTime) -> Duration {
        let wait = self.expected_wait(&arrival.customer, arrival.deadline);
        let service = self.estimate.time_for(u64::from(arrival.cost));
        (now + wait + service).saturating_since(arrival.deadline)
    }

    fn drain_time(&self) -> Duration {
        let cost: u64 = self
            .customer_queues
            .values()
            .map(CustomerQueue::get_total_cost)
            .sum();
        self.estimate.time_for(cost.max(1)) / self.limits.get_slots()
    }

    fn full_refusal(&self, arrival: WaitingItem<T>) -> QueueRefusal<T> {
        refusal(&arrival.customer, arrival.item, self.drain_time())
    }

    /// Evicts the last item of the longest customer queue, if that queue is
    /// longer than the queue of the arriving customer would become.
    fn make_room_for(&mut self, arriving: &CustomerId) -> Option<QueueRefusal<T>> {
        let (customer, rank) = self.evictable(arriving)?;
        let retry_after = self.drain_time();
        let item = self.remove(&customer, rank)?.item;
        Some(refusal(&customer, item, retry_after))
    }

    /// Returns the item that can make room for an arrival of this customer.
    fn evictable(&self, arriving: &CustomerId) -> Option<(CustomerId, ItemRank)> {
        let own_length = self
            .customer_queues
            .get(arriving)
            .map_or(0, CustomerQueue::len);
        let longest = self
            .customer_queues
            .iter()
            .max_by_key(|(_, queue)| queue.len());
        longest
            .filter(|(_, queue)| queue.len() > own_length + 1)
            .and_then(|(customer, queue)| Some((customer.clone(), queue.last_rank()?)))
    }

    fn insert(&mut self, arrival: WaitingItem<T>) -> QueueTicket {
        let customer = arrival.customer;
        let rank = ItemRank {
            deadline: arrival.deadline,
            sequence: self.next_sequence,
        };
        let item = PendingItem {
            cost: arrival.cost,
            item: arrival.item,
        };
        self.next_sequence += 1;
        self.length += 1;
        if !self.customer_queues.contains_key(&customer) {
            self.active_customers.push_back(customer.clone());
        }
        let quantum = self.limits.get_quantum();
        self.customer_queues
            .entry(customer.clone())
            .or_insert_with(|| CustomerQueue::new(quantum))
            .insert(rank, item);
        QueueTicket { customer, rank }
    }

    /// Removes an item; a customer queue that becomes empty is removed with its deficit.
    fn remove(&mut self, customer: &CustomerId, rank: ItemRank) -> Option<PendingItem<T>> {
        let queue = self.customer_queues.get_mut(customer)?;
        let item = queue.remove(rank)?;
        self.length -= 1;
        if queue.is_empty() {
            self.customer_queues.remove(customer);
            self.active_customers.retain(|waiting| waiting != customer);
        }
        Some(item)
    }

    /// Returns the next customer in turn whose deficit covers its first item.
    /// Each skipped customer gets one quantum and moves to the end of the round.
    fn next_customer(&mut self) -> Option<CustomerId> {
        self.skip_idle_rounds();
        loop {
            let customer = self.active_customers.front()?.clone();
            let queue = self.customer_queues.get_mut(&customer)?;
            if queue.missing_deficit() == 0 {
                return Some(customer);
            }
            queue.deficit += u64::from(self.limits.get_quantum());
            self.active_customers.rotate_left(1);
        }
    }

    /// Adds the quanta of all rounds in which no customer could be served, instead
    /// of iterating through these rounds.
    fn skip_idle_rounds(&mut self) {
        let quantum = u64::from(self.limits.get_quantum());
        let missing = self
            .customer_queues
            .values()
            .map(CustomerQueue::missing_deficit)
            .min();
        let idle_rounds = missing.unwrap_or(0).saturating_sub(1) / quantum;
        for queue in self.customer_queues.values_mut() {
            queue.deficit += idle_rounds * quantum;
        }
    }
}

fn refusal<T>(customer: &CustomerId, item: T, retry_after: Duration) -> QueueRefusal<T> {
    QueueRefusal {
        refused: QueuedItem {
            customer: customer.clone(),
            item,
        },
        reason: RefusalReason::QueueFull,
        retry_after: RetryDelay::new(retry_after),
    }
}
