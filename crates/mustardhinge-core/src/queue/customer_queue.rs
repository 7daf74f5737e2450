use std::collections::BTreeMap;

use super::queue_ticket::ItemRank;
use crate::units::MonotonicTime;

/// A waiting item and its cost.
#[derive(Clone, Debug)]
pub(crate) struct PendingItem<T> {
    pub(crate) cost: u32,
    pub(crate) item: T,
}

/// The waiting items of one customer, earliest deadline first.
#[derive(Clone, Debug)]
pub(crate) struct CustomerQueue<T> {
    items: BTreeMap<ItemRank, PendingItem<T>>,
    total_cost: u64,
    pub(crate) deficit: u64,
}

impl<T> CustomerQueue<T> {
    /// Creates an empty queue whose initial deficit is one quantum.
    pub(crate) fn new(quantum: u32) -> Self {
        Self {
            items: BTreeMap::new(),
            total_cost: 0,
            deficit: u64::from(quantum),
        }
    }

    pub(crate) fn insert(&mut self, rank: ItemRank, item: PendingItem<T>) {
        self.total_cost += u64::from(item.cost);
        self.items.insert(rank, item);
    }

    pub(crate) fn remove(&mut self, rank: ItemRank) -> Option<PendingItem<T>> {
        let item = self.items.remove(&rank)?;
        self.total_cost -= u64::from(item.cost);
        Some(item)
    }

    pub(crate) fn first_rank(&self) -> Option<ItemRank> {
        self.items.keys().next().copied()
    }

    pub(crate) fn last_rank(&self) -> Option<ItemRank> {
        self.items.keys().next_back().copied()
    }

    /// Returns how much the deficit must grow to cover the cost of the first item.
    pub(crate) fn missing_deficit(&self) -> u64 {
        u64::from(self.first_cost()).saturating_sub(self.deficit)
    }

    /// Returns the cost of the first item, or 0 if there is none.
    pub(crate) fn first_cost(&self) -> u32 {
        self.items.values().next().map_or(0, |item| item.cost)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    pub(crate) const fn get_total_cost(&self) -> u64 {
        self.total_cost
    }

    /// Returns the total cost of the items that are served before an arrival with this deadline.
    pub(crate) fn cost_before(&self, deadline: MonotonicTime) -> u64 {
        let last = ItemRank {
            deadline,
            sequence: u64::MAX,
        };
        self.items
            .range(..=last)
            .map(|(_, item)| u64::from(item.cost))
            .sum()
    }
}
