use std::time::Duration;

/// Returns a duration in whole milliseconds, rounded down.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
