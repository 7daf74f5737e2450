use super::CustomerWeight;
use super::customer_queue::CustomerQueue;

/// A customer's waiting items, weight and credit in slot time.
#[derive(Clone, Debug)]
pub(crate) struct WeightedCustomer<T> {
    pub(crate) queue: CustomerQueue<T>,
    pub(crate) weight: CustomerWeight,
    /// Slot time that the customer may still use in this round; negative after an item that cost
    /// more than was left.
    pub(crate) credit: i64,
}

impl<T> WeightedCustomer<T> {
    pub(crate) fn new(weight: CustomerWeight, credit: i64) -> Self {
        Self {
            queue: CustomerQueue::new(0),
            weight,
            credit,
        }
    }

    /// Returns the slot time by which the customer has exceeded its share.
    pub(crate) fn debt(&self) -> u64 {
        self.credit.min(0).unsigned_abs()
    }

    /// Returns the number of rounds until the customer has credit again.
    pub(crate) fn rounds_until_credit(&self, quantum: i64) -> i64 {
        if self.credit > 0 {
            0
        } else {
            (-self.credit) / quantum + 1
        }
    }
}
