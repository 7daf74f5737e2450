use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::WorkKind;

use super::SlotRequest;

/// Work for which a connection is leased, to measure its slot time.
#[derive(Clone, Copy, Debug)]
pub struct LeasedWork {
    /// Priority of the work.
    pub priority: RoutePriority,
    /// Kind of the work.
    pub kind: WorkKind,
    /// Time when the work got its connection.
    pub started_at: MonotonicTime,
}

impl LeasedWork {
    /// Creates the work of a request, or returns `None` if it has no effect on the queue.
    #[must_use]
    pub fn of(request: &SlotRequest, started_at: MonotonicTime) -> Option<Self> {
        request.weight.map(|_| Self {
            priority: request.priority,
            kind: request.kind,
            started_at,
        })
    }
}
