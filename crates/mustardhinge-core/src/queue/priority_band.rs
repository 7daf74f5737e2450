use std::collections::{BTreeMap, VecDeque};

use super::customer_queue::PendingItem;
use super::queue_ticket::ItemRank;
use super::weighted_customer::WeightedCustomer;
use super::{CustomerWeight, QueuedItem};
use crate::ids::CustomerId;
use crate::units::MonotonicTime;

/// An item that left a band, with its cost in microseconds.
pub(crate) type CostedItem<T> = (QueuedItem<T>, u32);

/// The waiting items of one priority.
///
/// Customers take turns by deficit round robin, weighted by their configured rate. The customer
/// with the highest weight gets the mean cost of the waiting items per round. A customer that has
/// credit left is served even if its item costs more, and pays the difference in later rounds,
/// also if it has nothing waiting in the meantime. Otherwise, a customer that sends one item at a
/// time would be served once per round whatever its weight.
#[derive(Clone, Debug)]
pub(crate) struct PriorityBand<T> {
    customers: BTreeMap<CustomerId, WeightedCustomer<T>>,
    turns: VecDeque<CustomerId>,
    length: usize,
    total_cost: u64,
    /// Slot time given to other priorities while this one waited behind a higher one, less what it
    /// was given by guarantee.
    pub(crate) passed_over: i64,
}

impl<T> Default for PriorityBand<T> {
    fn default() -> Self {
        Self {
            customers: BTreeMap::new(),
            turns: VecDeque::new(),
            length: 0,
            total_cost: 0,
            passed_over: 0,
        }
    }
}

impl<T> PriorityBand<T> {
    pub(crate) const fn is_empty(&self) -> bool {
        self.length == 0
    }

    pub(crate) const fn get_total_cost(&self) -> u64 {
        self.total_cost
    }

    /// Returns the mean cost of the waiting items, at least 1.
    pub(crate) fn mean_cost(&self) -> u64 {
        let length = u64::try_from(self.length.max(1)).unwrap_or(u64::MAX);
        (self.total_cost / length).max(1)
    }

    pub(crate) fn insert(
        &mut self,
        (customer, weight): (&CustomerId, CustomerWeight),
        rank: ItemRank,
        item: PendingItem<T>,
    ) {
        self.length += 1;
        self.total_cost += u64::from(item.cost);
        if let Some(known) = self.customers.get_mut(customer) {
            known.weight = weight;
            known.queue.insert(rank, item);
            return;
        }
        let mut added = WeightedCustomer::new(weight, 0);
        added.queue.insert(rank, item);
        self.customers.insert(customer.clone(), added);
        let quantum = self.quantum(weight, self.highest_weight());
        if let Some(added) = self.customers.get_mut(customer) {
            added.credit = quantum;
        }
        self.turns.push_back(customer.clone());
    }

    /// Removes an item. A customer without items stays until its debt is paid, or until nothing
    /// waits any longer.
    pub(crate) fn remove(
        &mut self,
        customer: &CustomerId,
        rank: ItemRank,
    ) -> Option<PendingItem<T>> {
        let known = self.customers.get_mut(customer)?;
        let item = known.queue.remove(rank)?;
        let is_done = known.queue.is_empty() && known.credit >= 0;
        self.length -= 1;
        self.total_cost -= u64::from(item.cost);
        if self.is_empty() {
            self.customers.clear();
            self.turns.clear();
        } else if is_done {
            self.forget(customer);
        }
        Some(item)
    }

    /// Removes and returns the next item in turn.
    pub(crate) fn pop(&mut self) -> Option<CostedItem<T>> {
        let customer = self.next_customer()?;
        let known = self.customers.get_mut(&customer)?;
        let rank = known.queue.first_rank()?;
        known.credit -= i64::from(known.queue.first_cost());
        let removed = self.remove(&customer, rank)?;
        let item = removed.item;
        Some((QueuedItem { customer, item }, removed.cost))
    }

    /// Removes and returns an item whose deadline has passed.
    pub(crate) fn pop_expired(&mut self, now: MonotonicTime) -> Option<CostedItem<T>> {
        let (customer, rank) = self.customers.iter().find_map(|(customer, known)| {
            let passed = known.queue.first_rank().filter(|rank| rank.deadline <= now);
            Some((customer.clone(), passed?))
        })?;
        let removed = self.remove(&customer, rank)?;
        let item = removed.item;
        Some((QueuedItem { customer, item }, removed.cost))
    }

    /// Removes and returns the last item of the longest customer queue if that is longer than
    /// `min_length`.
    pub(crate) fn evict(&mut self, min_length: usize) -> Option<QueuedItem<T>> {
        let longest = self
            .customers
            .iter()
            .max_by_key(|(_, known)| known.queue.len());
        let (customer, rank) = longest
            .filter(|(_, known)| known.queue.len() > min_length)
            .and_then(|(customer, known)| Some((customer.clone(), known.queue.last_rank()?)))?;
        let item = self.remove(&customer, rank)?.item;
        Some(QueuedItem { customer, item })
    }

    /// Returns the number of waiting items of the longest customer queue.
    pub(crate) fn longest_length(&self) -> usize {
        let lengths = self.customers.values().map(|known| known.queue.len());
        lengths.max().unwrap_or(0)
    }

    /// Returns the number of waiting items of a customer.
    pub(crate) fn length_of(&self, customer: &CustomerId) -> usize {
        self.customers
            .get(customer)
            .map_or(0, |known| known.queue.len())
    }

    /// Returns the slot time of this band that is given out before a new item of this customer.
    pub(crate) fn work_before(
        &self,
        (customer, weight): (&CustomerId, CustomerWeight),
        deadline: MonotonicTime,
    ) -> u64 {
        let own = self.customers.get(customer);
        let before = own.map_or(0, |known| known.queue.cost_before(deadline));
        let debt = own.map_or(0, WeightedCustomer::debt);
        let highest = self.highest_weight().max(weight.get());
        let turn = before + debt + self.quantum(weight, highest).unsigned_abs();
        let others = self
            .customers
            .iter()
            .filter(|(other, _)| *other != customer);
        let others: u64 = others
            .map(|(_, other)| {
                let fair = turn.saturating_mul(other.weight.get().into()) / u64::from(weight.get());
                // With credit, an item is served whole however small the share.
                let begun = if other.credit > 0 {
                    self.mean_cost()
                } else {
                    0
                };
                other.queue.get_total_cost().min(fair.max(begun))
            })
            .sum();
        before + others
    }

    /// Returns the slot time of this band that is given out before the first item of a customer
    /// that has none waiting and owes nothing.
    pub(crate) fn work_before_newcomer(&self) -> u64 {
        let one_turn = self.mean_cost();
        let totals = self.customers.values();
        totals
            .map(|known| known.queue.get_total_cost().min(one_turn))
            .sum()
    }

    /// Returns the earliest deadline of the waiting items.
    pub(crate) fn next_deadline(&self) -> Option<MonotonicTime> {
        let first = |known: &WeightedCustomer<T>| known.queue.first_rank();
        let ranks = self.customers.values().filter_map(first);
        ranks.map(|rank| rank.deadline).min()
    }

    /// Returns the next customer in turn that has credit. Each skipped customer gets its quantum
    /// and moves to the end of the round.
    fn next_customer(&mut self) -> Option<CustomerId> {
        if self.is_empty() {
            return None;
        }
        let highest = self.highest_weight();
        self.skip_idle_rounds(highest);
        loop {
            let customer = self.turns.front()?.clone();
            let known = self.customers.get(&customer)?;
            let is_waiting = !known.queue.is_empty();
            if is_waiting && known.credit > 0 {
                return Some(customer);
            }
            let credit = known.credit + self.quantum(known.weight, highest);
            if !is_waiting && credit >= 0 {
                self.forget(&customer);
                continue;
            }
            self.customers.get_mut(&customer)?.credit = credit;
            self.turns.rotate_left(1);
        }
    }

    /// Adds the quanta of all rounds in which no customer could be served, instead of iterating
    /// through these rounds.
    fn skip_idle_rounds(&mut self, highest: u32) {
        let waiting = self.customers.values();
        let waiting = waiting.filter(|known| !known.queue.is_empty());
        let rounds =
            waiting.map(|known| known.rounds_until_credit(self.quantum(known.weight, highest)));
        let idle_rounds = rounds.min().unwrap_or(0) - 1;
        if idle_rounds <= 0 {
            return;
        }
        let mean_cost = self.mean_cost();
        for known in self.customers.values_mut() {
            let added = quantum(mean_cost, known.weight, highest) * idle_rounds;
            let limit = if known.queue.is_empty() { 0 } else { i64::MAX };
            known.credit = (known.credit + added).min(limit);
        }
    }

    fn forget(&mut self, customer: &CustomerId) {
        self.customers.remove(customer);
        self.turns.retain(|other| other != customer);
    }

    fn highest_weight(&self) -> u32 {
        let waiting = self.customers.values();
        let waiting = waiting.filter(|known| !known.queue.is_empty());
        waiting.map(|known| known.weight.get()).max().unwrap_or(1)
    }

    fn quantum(&self, weight: CustomerWeight, highest: u32) -> i64 {
        quantum(self.mean_cost(), weight, highest)
    }
}

/// Returns the slot time that a customer gets per round, at least 1 microsecond.
fn quantum(mean_cost: u64, weight: CustomerWeight, highest: u32) -> i64 {
    let share = mean_cost.saturating_mul(weight.get().into()) / u64::from(highest.max(1));
    i64::try_from(share.max(1)).unwrap_or(i64::MAX)
}
