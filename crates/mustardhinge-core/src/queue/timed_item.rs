use std::time::Duration;

use crate::units::MonotonicTime;

/// A waiting item with its arrival and the wait that was expected then.
#[derive(Clone, Debug)]
pub(crate) struct TimedItem<T> {
    pub(crate) item: T,
    pub(crate) queued_at: MonotonicTime,
    /// The expected wait before the correction by measured waits.
    pub(crate) expected_wait: Duration,
}
