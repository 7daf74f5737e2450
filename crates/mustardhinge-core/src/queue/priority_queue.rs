use std::collections::BTreeMap;
use std::time::Duration;

use super::customer_queue::PendingItem;
use super::priority_band::PriorityBand;
use super::queue_ticket::ItemRank;
use super::recent_demand::RecentDemand;
use super::timed_item::TimedItem;
use super::wait_bias::WaitBias;
use super::{
    PopOutcome, PriorityItem, PriorityWaits, PushOutcome, QueueLimits, QueueRefusal, QueueTicket,
    QueuedItem, SlotCost,
};
use crate::outcome::{RefusalReason, RetryDelay};
use crate::units::{MonotonicTime, RoutePriority};

/// A lower priority that waits is given at least one part in this many of the slot time.
const GUARANTEE_DIVISOR: u64 = 16;

/// A bounded queue in front of a target, ordered by priority.
///
/// A higher priority is served before a lower one, except for the part of the slot time that each
/// waiting lower priority is guaranteed. Within a priority, customers share by deficit round robin
/// in slot time, weighted by their configured rate; within a customer, the earliest deadline is
/// first. An item that is not expected to be sent in time is refused on arrival. When the
/// queue is full, an item of the lowest waiting priority makes room for one of a higher priority.
#[derive(Clone, Debug)]
pub struct PriorityQueue<T> {
    limits: QueueLimits,
    bands: BTreeMap<RoutePriority, PriorityBand<TimedItem<T>>>,
    biases: BTreeMap<RoutePriority, WaitBias>,
    demands: BTreeMap<RoutePriority, RecentDemand>,
    length: usize,
    next_sequence: u64,
}

impl<T> PriorityQueue<T> {
    /// Creates an empty queue. Only the capacity and the slots of the limits apply.
    #[must_use]
    pub const fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            bands: BTreeMap::new(),
            biases: BTreeMap::new(),
            demands: BTreeMap::new(),
            length: 0,
            next_sequence: 0,
        }
    }

    /// Adds an item, or refuses it if it is not expected to be sent in time or the queue is full.
    pub fn push(&mut self, arrival: PriorityItem<T>, now: MonotonicTime) -> PushOutcome<T> {
        if self.is_late(&arrival, now) {
            return PushOutcome::Refused(self.refuse(arrival, now));
        }
        if self.length < self.limits.get_capacity() {
            let ticket = self.insert(arrival, now);
            return PushOutcome::Queued {
                ticket,
                displaced: None,
            };
        }
        match self.make_room_for(&arrival, now) {
            None => PushOutcome::Refused(self.refuse(arrival, now)),
            displaced => {
                let ticket = self.insert(arrival, now);
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
        arrival: &PriorityItem<T>,
        now: MonotonicTime,
    ) -> Result<Duration, RetryDelay> {
        let has_room =
            self.length < self.limits.get_capacity() || self.evictable(arrival).is_some();
        if self.is_late(arrival, now) || !has_room {
            return Err(self.drain_time(arrival.priority, now));
        }
        Ok(self.expected_wait(arrival, now))
    }

    fn is_late(&self, arrival: &PriorityItem<T>, now: MonotonicTime) -> bool {
        now + self.expected_wait(arrival, now) > arrival.admit_by
    }

    /// Removes and returns the next item: an expired one if there is any, otherwise the next in
    /// turn.
    pub fn pop(&mut self, now: MonotonicTime) -> Option<PopOutcome<T>> {
        if let Some(expired) = self.pop_expired(now) {
            return Some(PopOutcome::Expired(expired));
        }
        let priority = self.next_priority()?;
        let (ready, cost) = self.bands.get_mut(&priority)?.pop()?;
        self.length -= 1;
        self.record_given(priority, cost);
        self.drop_if_empty(priority);
        let item = self.record_wait(priority, ready.item, now);
        let customer = ready.customer;
        Some(PopOutcome::Ready(QueuedItem { customer, item }))
    }

    /// Removes and returns an item whose deadline has passed, so that its caller gets the refusal
    /// without further delay.
    pub fn pop_expired(&mut self, now: MonotonicTime) -> Option<QueueRefusal<T>> {
        let bands = self.bands.iter_mut();
        let (priority, expired) = bands
            .filter_map(|(priority, band)| Some((*priority, band.pop_expired(now)?.0)))
            .next()?;
        self.length -= 1;
        self.drop_if_empty(priority);
        let item = self.record_wait(priority, expired.item, now);
        let customer = expired.customer;
        Some(QueueRefusal {
            refused: QueuedItem { customer, item },
            reason: RefusalReason::DeadlinePassed,
            retry_after: self.drain_time(priority, now),
        })
    }

    /// Removes and returns the item of a ticket if it is still queued with this priority.
    pub fn cancel(&mut self, priority: RoutePriority, ticket: &QueueTicket) -> Option<T> {
        let band = self.bands.get_mut(&priority)?;
        let item = band.remove(&ticket.customer, ticket.rank)?.item.item;
        self.length -= 1;
        self.drop_if_empty(priority);
        Some(item)
    }

    /// Records a statement that is queued or sent without waiting as demand of its priority. One that
    /// is refused later counts as well, since its caller retries.
    pub fn record_demand(&mut self, priority: RoutePriority, cost: SlotCost, now: MonotonicTime) {
        self.demands
            .entry(priority)
            .or_default()
            .record(cost.as_micros(), now);
    }

    /// Sets the number of concurrent statements that the wait estimate assumes.
    pub const fn set_slots(&mut self, slots: u32) {
        self.limits = self.limits.slots(slots);
    }

    /// Returns the earliest deadline of all waiting items.
    #[must_use]
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        let deadlines = self.bands.values().filter_map(PriorityBand::next_deadline);
        deadlines.min()
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

    /// Returns the expected wait of an arrival of a customer that has nothing waiting, for each of
    /// the highest priorities.
    #[must_use]
    pub fn reported_waits(&self, now: MonotonicTime) -> PriorityWaits {
        PriorityWaits::new(PriorityWaits::PRIORITIES.map(|priority| {
            let band = self.bands.get(&priority);
            let before = band.map_or(0, PriorityBand::work_before_newcomer);
            let cost = band.map_or(0, PriorityBand::mean_cost);
            self.corrected(priority, self.wait_for(priority, (before, cost), now))
        }))
    }

    /// Estimates how long an arrival would wait: for the higher priorities that wait and arrive in
    /// the meantime, for its own priority by fair share, and for the guaranteed part of the lower
    /// ones. Corrected by how much longer than expected the last items of its priority waited.
    #[must_use]
    pub fn expected_wait(&self, arrival: &PriorityItem<T>, now: MonotonicTime) -> Duration {
        self.corrected(arrival.priority, self.queued_wait(arrival, now))
    }

    /// Returns the expected wait of an arrival before the correction by measured waits.
    fn queued_wait(&self, arrival: &PriorityItem<T>, now: MonotonicTime) -> Duration {
        let band = self.bands.get(&arrival.priority);
        let customer = (&arrival.customer, arrival.weight);
        let before = band.map_or(0, |band| band.work_before(customer, arrival.deadline));
        let cost = u64::from(arrival.cost.as_micros());
        self.wait_for(arrival.priority, (before, cost), now)
    }

    /// Returns how long work of this priority waits that has `before` of its own priority in front
    /// of it.
    fn wait_for(
        &self,
        priority: RoutePriority,
        (before, cost): (u64, u64),
        now: MonotonicTime,
    ) -> Duration {
        let higher_cost: u64 = self
            .bands
            .range(..priority)
            .map(|(_, band)| band.get_total_cost())
            .sum();
        let ahead = before + higher_cost;
        let lower = self.bands.iter().filter(|(other, _)| **other > priority);
        let guaranteed: u64 = lower
            .map(|(_, band)| band.get_total_cost().min(ahead / GUARANTEE_DIVISOR))
            .sum();
        let slots = f64::from(self.limits.get_slots());
        let left = slots - self.higher_demand(priority, now);
        // The sums stay far below the precision of the conversion.
        let in_order = (ahead + guaranteed) as f64 / left;
        let by_guarantee = ((before + cost) * GUARANTEE_DIVISOR) as f64 / slots;
        let wait = if ahead == 0 {
            0.0
        } else if left <= 0.0 {
            by_guarantee
        } else {
            in_order.min(by_guarantee)
        };
        Duration::from_micros(wait as u64)
    }

    fn corrected(&self, priority: RoutePriority, wait: Duration) -> Duration {
        let bias = self.biases.get(&priority).copied().unwrap_or_default();
        wait.mul_f64(bias.factor())
    }

    /// Returns the mean number of slots that higher priorities have occupied recently.
    fn higher_demand(&self, priority: RoutePriority, now: MonotonicTime) -> f64 {
        let higher = self.demands.range(..priority);
        higher.map(|(_, demand)| demand.slots(now)).sum()
    }

    /// Returns the expected time until everything that waits with this priority is sent.
    #[must_use]
    pub fn drain_time(&self, priority: RoutePriority, now: MonotonicTime) -> RetryDelay {
        let band = self.bands.get(&priority);
        let total = band.map_or(0, PriorityBand::get_total_cost);
        let wait = self.wait_for(priority, (total, 0), now);
        RetryDelay::new(self.corrected(priority, wait))
    }

    fn refuse(&self, arrival: PriorityItem<T>, now: MonotonicTime) -> QueueRefusal<T> {
        QueueRefusal {
            refused: QueuedItem {
                customer: arrival.customer,
                item: arrival.item,
            },
            reason: RefusalReason::QueueFull,
            retry_after: self.drain_time(arrival.priority, now),
        }
    }

    /// Evicts the last item of the longest customer queue of the lowest waiting priority. Within
    /// the priority of the arrival, that queue must be longer than the one of the arriving customer
    /// would become.
    fn make_room_for(
        &mut self,
        arrival: &PriorityItem<T>,
        now: MonotonicTime,
    ) -> Option<QueueRefusal<T>> {
        let (lowest, min_length) = self.evictable(arrival)?;
        let retry_after = self.drain_time(lowest, now);
        let band = self.bands.get_mut(&lowest)?;
        let QueuedItem { customer, item } = band.evict(min_length)?;
        self.length -= 1;
        self.drop_if_empty(lowest);
        let item = item.item;
        Some(QueueRefusal {
            refused: QueuedItem { customer, item },
            reason: RefusalReason::QueueFull,
            retry_after,
        })
    }

    /// Returns the priority of which an item can make room for the arrival, and the length that its
    /// longest customer queue exceeds.
    fn evictable(&self, arrival: &PriorityItem<T>) -> Option<(RoutePriority, usize)> {
        let (lowest, band) = self.bands.last_key_value()?;
        if *lowest < arrival.priority {
            return None;
        }
        let min_length = if *lowest == arrival.priority {
            band.length_of(&arrival.customer) + 1
        } else {
            0
        };
        (band.longest_length() > min_length).then_some((*lowest, min_length))
    }

    fn insert(&mut self, arrival: PriorityItem<T>, now: MonotonicTime) -> QueueTicket {
        let expected_wait = self.queued_wait(&arrival, now);
        self.record_demand(arrival.priority, arrival.cost, now);
        let rank = ItemRank {
            deadline: arrival.deadline,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        self.length += 1;
        let item = PendingItem {
            cost: arrival.cost.as_micros(),
            item: TimedItem {
                item: arrival.item,
                queued_at: now,
                expected_wait,
            },
        };
        let customer = (&arrival.customer, arrival.weight);
        let band = self.bands.entry(arrival.priority).or_default();
        band.insert(customer, rank, item);
        QueueTicket {
            customer: arrival.customer,
            rank,
        }
    }

    /// Returns the lower priority that was passed over for longest if its guaranteed part is due,
    /// and the highest waiting one otherwise.
    fn next_priority(&self) -> Option<RoutePriority> {
        let mut waiting = self.bands.iter();
        let (highest, _) = waiting.next()?;
        let is_due = |band: &PriorityBand<TimedItem<T>>| {
            let due = band.mean_cost().saturating_mul(GUARANTEE_DIVISOR);
            band.passed_over >= i64::try_from(due).unwrap_or(i64::MAX)
        };
        let due = waiting.filter(|(_, band)| is_due(band));
        let longest = due.max_by_key(|(_, band)| band.passed_over);
        Some(*longest.map_or(highest, |(priority, _)| priority))
    }

    /// Records slot time that was given to one priority, for the guarantee of the lower ones.
    fn record_given(&mut self, given_to: RoutePriority, cost: u32) {
        let mut bands = self.bands.iter_mut();
        if let Some((highest, band)) = bands.next()
            && *highest == given_to
        {
            band.passed_over = 0;
        }
        for (priority, band) in bands {
            band.passed_over += i64::from(cost);
            if *priority == given_to {
                band.passed_over -= i64::from(cost) * GUARANTEE_DIVISOR as i64;
            }
        }
    }

    /// Records the wait of an item that left the queue, and returns the item.
    fn record_wait(
        &mut self,
        priority: RoutePriority,
        timed: TimedItem<T>,
        now: MonotonicTime,
    ) -> T {
        let waited = now.saturating_since(timed.queued_at);
        let bias = self.biases.entry(priority).or_default();
        bias.record(timed.expected_wait, waited);
        timed.item
    }

    fn drop_if_empty(&mut self, priority: RoutePriority) {
        if self
            .bands
            .get(&priority)
            .is_some_and(PriorityBand::is_empty)
        {
            self.bands.remove(&priority);
        }
    }
}
