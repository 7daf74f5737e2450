use super::QueueTicket;
use crate::ids::CustomerId;
use crate::outcome::{RefusalReason, RetryDelay};

/// An item and the customer it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedItem<T> {
    /// The customer.
    pub customer: CustomerId,
    /// The item.
    pub item: T,
}

/// An item that gets its final answer now: it did not run and will not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRefusal<T> {
    /// The item, with its customer.
    pub refused: QueuedItem<T>,
    /// Why it is refused.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: RetryDelay,
}

/// What became of an item that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// It waits.
    Queued {
        /// Its place.
        ticket: QueueTicket,
        /// The item of a customer with a longer queue that had to make room.
        displaced: Option<QueueRefusal<T>>,
    },
    /// It was refused.
    Refused(QueueRefusal<T>),
}

/// An item that left the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PopOutcome<T> {
    /// It is its turn.
    Ready(QueuedItem<T>),
    /// Its deadline passed while it waited.
    Expired(QueueRefusal<T>),
}
