//! The first-come, first-served queue that is the baseline of the comparison.

use std::collections::VecDeque;

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::WaitingItem;

/// Maximum number of waiting items.
const CAPACITY: usize = 256;

/// A bounded queue that serves items in the order of arrival.
#[derive(Debug, Default)]
pub(crate) struct FirstCome<T> {
    items: VecDeque<WaitingItem<T>>,
}

impl<T> FirstCome<T> {
    pub(crate) fn push(&mut self, arrival: WaitingItem<T>) {
        if self.items.len() < CAPACITY {
            self.items.push_back(arrival);
        }
    }

    pub(crate) fn pop(&mut self, now: MonotonicTime) -> Option<T> {
        while let Some(waiting) = self.items.pop_front() {
            if waiting.deadline > now {
                return Some(waiting.item);
            }
        }
        None
    }
}
