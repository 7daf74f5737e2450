use std::time::Duration;

use crate::units::MonotonicTime;

/// A change of primary that is under way usually ends within this time: the word of the
/// instances, a promotion of some hundred milliseconds, the next lease.
const EXPECTED_CHANGE_TIME: Duration = Duration::from_millis(600);
/// An outage whose cause isn't known yet usually ends within this time: suspicion, then a
/// change.
const EXPECTED_OUTAGE_TIME: Duration = Duration::from_millis(2_000);
/// An outage that lasts this much longer than usual has no known end.
const OVERDUE_AFTER: Duration = Duration::from_millis(1_000);
/// When a caller should come back from an outage without a known end.
const OVERDUE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Part of a statement's time that waiting may use up, in quarters; the rest is for the run.
const MAX_WAIT_QUARTERS: u32 = 3;

/// Whether a statement should wait for a primary that can't be used.
///
/// Load pattern: the writes of a whole group arrive while its primary is replaced. Those
/// that can still be served wait, since each refusal uses up one of the caller's retries;
/// the others are refused at once, with the time at which the change should be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitDecision {
    /// Wait for at most this long.
    Wait(Duration),
    /// Refuse, and let the caller come back after this time.
    Refuse(Duration),
}

impl WaitDecision {
    /// Decides for a statement that has waited for `waited` of its `limit`, when the primary
    /// has been out since `since` and is being replaced since `changing_since`.
    #[must_use]
    pub fn decide(
        since: MonotonicTime,
        changing_since: Option<MonotonicTime>,
        (waited, limit): (Duration, Duration),
        now: MonotonicTime,
    ) -> Self {
        let (expected, elapsed) = match changing_since {
            Some(changing) => (EXPECTED_CHANGE_TIME, now.saturating_since(changing)),
            None => (EXPECTED_OUTAGE_TIME, now.saturating_since(since)),
        };
        if elapsed > expected + OVERDUE_AFTER {
            return Self::Refuse(OVERDUE_RETRY_AFTER);
        }
        let remaining = expected.saturating_sub(elapsed);
        let max_wait = (limit * MAX_WAIT_QUARTERS / 4).saturating_sub(waited);
        if max_wait.is_zero() || remaining > max_wait {
            return Self::Refuse(remaining.max(OVERDUE_RETRY_AFTER / 5));
        }
        Self::Wait(max_wait)
    }
}
