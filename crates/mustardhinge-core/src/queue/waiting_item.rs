use crate::ids::CustomerId;
use crate::units::MonotonicTime;

/// Work that arrives at a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingItem<T> {
    /// Whose work it is.
    pub customer: CustomerId,
    /// When its answer must be there.
    pub deadline: MonotonicTime,
    /// Its cost, in the units in which service times are recorded.
    pub cost: u32,
    /// The work.
    pub item: T,
}
