use super::QueueTicket;
use crate::ids::CustomerId;
use crate::outcome::{RefusalReason, RetryDelay};

/// An item with its customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedItem<T> {
    /// The customer that the item belongs to.
    pub customer: CustomerId,
    /// The item.
    pub item: T,
}

/// An item that was refused: it did not run and will not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRefusal<T> {
    /// The item, with its customer.
    pub refused: QueuedItem<T>,
    /// Why it is refused.
    pub reason: RefusalReason,
    /// When the caller should retry.
    pub retry_after: RetryDelay,
}

/// The outcome of adding an item to the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// The item was queued.
    Queued {
        /// The ticket for cancelling it.
        ticket: QueueTicket,
        /// The item of a customer with a longer queue that was evicted to make room.
        displaced: Option<QueueRefusal<T>>,
    },
    /// The item was refused.
    Refused(QueueRefusal<T>),
}

/// An item that left the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PopOutcome<T> {
    /// The item is next in turn.
    Ready(QueuedItem<T>),
    /// The item's deadline passed while it waited.
    Expired(QueueRefusal<T>),
}
