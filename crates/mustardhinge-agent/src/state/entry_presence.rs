use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mustardhinge_core::prelude::*;

/// Time without a request after which the entry counts as gone.
const GONE_AFTER: Duration = Duration::from_millis(500);

/// Tracks whether the entry of the instance still sends requests.
#[derive(Debug, Default)]
pub(crate) struct EntryPresence {
    activity: Mutex<RequestActivity>,
}

#[derive(Debug, Default)]
struct RequestActivity {
    pending_count: usize,
    last_completed_at: Option<MonotonicTime>,
}

/// Guard of a pending request of the entry; the request ends when it is dropped.
pub(crate) struct PendingRequest<'a, F: Fn() -> MonotonicTime> {
    presence: &'a EntryPresence,
    clock: F,
}

impl EntryPresence {
    /// Records the start of a request; it ends when the guard is dropped.
    pub(crate) fn start_request<F: Fn() -> MonotonicTime>(
        &self,
        clock: F,
    ) -> PendingRequest<'_, F> {
        self.lock().pending_count += 1;
        PendingRequest {
            presence: self,
            clock,
        }
    }

    /// Returns whether the entry has never sent a request or has stopped sending
    /// requests.
    pub(crate) fn is_gone(&self, now: MonotonicTime) -> bool {
        let activity = self.lock();
        let is_expired =
            |completed_at: MonotonicTime| now.saturating_since(completed_at) >= GONE_AFTER;
        activity.pending_count == 0 && activity.last_completed_at.is_none_or(is_expired)
    }

    fn lock(&self) -> MutexGuard<'_, RequestActivity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<F: Fn() -> MonotonicTime> Drop for PendingRequest<'_, F> {
    fn drop(&mut self) {
        let now = (self.clock)();
        let mut activity = self.presence.lock();
        activity.pending_count -= 1;
        activity.last_completed_at = Some(now);
    }
}
