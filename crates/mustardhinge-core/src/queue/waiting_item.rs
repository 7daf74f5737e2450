use crate::ids::CustomerId;
use crate::units::MonotonicTime;

/// An item to add to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingItem<T> {
    /// The customer that the item belongs to.
    pub customer: CustomerId,
    /// The time by which the response must be available.
    pub deadline: MonotonicTime,
    /// The cost, in the units in which service times are recorded.
    pub cost: u32,
    /// The item.
    pub item: T,
}
