use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mustardhinge_core::prelude::*;

/// The time without a question after which the entry counts as gone.
const GONE_AFTER: Duration = Duration::from_millis(500);

/// Whether the entry of the instance still asks questions.
#[derive(Debug, Default)]
pub(crate) struct EntryPresence {
    seen: Mutex<SeenQuestions>,
}

#[derive(Debug, Default)]
struct SeenQuestions {
    waiting: usize,
    last_end: Option<MonotonicTime>,
}

/// A question of the entry that waits for its answer; ended when dropped.
pub(crate) struct WaitingQuestion<'a, F: Fn() -> MonotonicTime> {
    presence: &'a EntryPresence,
    clock: F,
}

impl EntryPresence {
    /// Notes that a question came; it ends when the guard is dropped.
    pub(crate) fn start_question<F: Fn() -> MonotonicTime>(
        &self,
        clock: F,
    ) -> WaitingQuestion<'_, F> {
        self.lock().waiting += 1;
        WaitingQuestion {
            presence: self,
            clock,
        }
    }

    /// Returns whether there is no entry, or no longer.
    pub(crate) fn is_gone(&self, now: MonotonicTime) -> bool {
        let seen = self.lock();
        let is_silent = |end: MonotonicTime| now.saturating_since(end) >= GONE_AFTER;
        seen.waiting == 0 && seen.last_end.is_none_or(is_silent)
    }

    fn lock(&self) -> MutexGuard<'_, SeenQuestions> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<F: Fn() -> MonotonicTime> Drop for WaitingQuestion<'_, F> {
    fn drop(&mut self) {
        let now = (self.clock)();
        let mut seen = self.presence.lock();
        seen.waiting -= 1;
        seen.last_end = Some(now);
    }
}
