use crate::ids::CustomerId;
use crate::units::MonotonicTime;

/// Identifies a waiting item so that it can be cancelled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueTicket {
    pub(crate) customer: CustomerId,
    pub(crate) rank: ItemRank,
}

/// The order of a customer's items: by deadline, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ItemRank {
    pub(crate) deadline: MonotonicTime,
    pub(crate) sequence: u64,
}
