use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{QueueRefusal, QueueTicket};

/// Place of a request in the queue of a target.
#[derive(Clone, Debug)]
pub struct QueuePlace {
    /// Priority of the request, or `None` in the queue without priorities.
    pub(super) priority: Option<RoutePriority>,
    pub(super) ticket: QueueTicket,
    /// Time until which the request waits.
    pub wait_until: MonotonicTime,
}

/// Result of queueing a request: its place with the request that was evicted to make room, or the
/// refusal.
pub type QueueResult<T> = Result<(QueuePlace, Option<QueueRefusal<T>>), QueueRefusal<T>>;
