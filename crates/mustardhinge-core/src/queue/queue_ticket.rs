use crate::ids::CustomerId;
use crate::units::MonotonicTime;

/// The place of one waiting item, to take it out again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueTicket {
    pub(crate) customer: CustomerId,
    pub(crate) rank: ItemRank,
}

/// The order of a customer's items: earliest deadline first, then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ItemRank {
    pub(crate) deadline: MonotonicTime,
    pub(crate) sequence: u64,
}
