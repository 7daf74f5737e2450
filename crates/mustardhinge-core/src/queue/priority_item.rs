use super::{CustomerWeight, SlotCost};
use crate::ids::CustomerId;
use crate::units::{MonotonicTime, RoutePriority};

/// An item to add to a [`PriorityQueue`](super::PriorityQueue).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PriorityItem<T> {
    /// The customer that the item belongs to.
    pub customer: CustomerId,
    /// The weight of the customer.
    pub weight: CustomerWeight,
    /// The priority.
    pub priority: RoutePriority,
    /// The time by which the item must be expected to be sent to be admitted. Earlier than the
    /// deadline, since the expected wait is a mean.
    pub admit_by: MonotonicTime,
    /// The time by which the item must be sent.
    pub deadline: MonotonicTime,
    /// The slot time that the item is expected to occupy.
    pub cost: SlotCost,
    /// The item.
    pub item: T,
}
