use std::time::Duration;

use crate::units::MonotonicTime;

/// Expected duration of a change of primary: the confirmations of the instances, a promotion of
/// a few hundred milliseconds, and the next lease.
const EXPECTED_CHANGE_TIME: Duration = Duration::from_millis(600);
/// Expected duration of an outage for which no change has started: failure detection, then a
/// change.
const EXPECTED_OUTAGE_TIME: Duration = Duration::from_millis(2_000);
/// The end of an outage that exceeds its expected duration by this time is unknown.
const OVERDUE_AFTER: Duration = Duration::from_millis(1_000);
/// Retry delay for callers during an outage whose end is unknown.
const OVERDUE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum fraction of a statement's time spent waiting, in quarters; the rest is for its
/// execution.
const MAX_WAIT_QUARTERS: u32 = 3;

/// Whether a statement waits for an unusable primary.
///
/// Load pattern: the writes of a whole group arrive while its primary is replaced. Writes that
/// can still be served wait, since each refusal uses up one of the caller's retries. The others
/// are refused immediately, with the time after which the change is expected to be complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitDecision {
    /// Wait for at most this long.
    Wait(Duration),
    /// Refuse the statement, with this retry delay.
    Refuse(Duration),
}

impl WaitDecision {
    /// Decides for a statement that has waited for `waited` of its `limit`.
    ///
    /// The primary has been unusable since `since`, and its replacement started at
    /// `changing_since`.
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
