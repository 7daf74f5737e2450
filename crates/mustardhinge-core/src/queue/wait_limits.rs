use std::time::Duration;

use super::SlotCost;
use crate::units::MonotonicTime;

/// Longest expected wait with which a statement is admitted, in quarters of its allowed wait. The
/// expected wait is a mean, and about half of the statements wait longer.
const EXPECTED_WAIT_QUARTERS: u32 = 3;

/// The times by which a statement that waits has to be sent.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use mustardhinge_core::prelude::MonotonicTime;
/// use mustardhinge_core::queue::{SlotCost, WaitLimits};
///
/// let cost = SlotCost::new(Duration::from_millis(40));
/// let limits = WaitLimits::new(Duration::from_millis(400), cost, MonotonicTime::from_millis(0));
/// assert_eq!(limits.admit_by, MonotonicTime::from_millis(300));
/// assert_eq!(limits.deadline, MonotonicTime::from_millis(360));
///
/// let transaction = SlotCost::new(Duration::from_millis(900));
/// let limits = WaitLimits::new(Duration::from_millis(400), transaction, limits.admit_by);
/// assert_eq!(limits.deadline, MonotonicTime::from_millis(600));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    /// The time by which the statement must be expected to be sent to be admitted.
    pub admit_by: MonotonicTime,
    /// The time by which it must be sent.
    pub deadline: MonotonicTime,
}

impl WaitLimits {
    /// Creates the limits of a statement that may wait and run for `allowed`.
    #[must_use]
    pub fn new(allowed: Duration, cost: SlotCost, now: MonotonicTime) -> Self {
        let slot_time = Duration::from_micros(cost.as_micros().into());
        Self {
            admit_by: now + Self::max_expected_wait(allowed),
            // The cost of a transaction covers more statements than the allowed time does.
            deadline: now + allowed.saturating_sub(slot_time.min(allowed / 4)),
        }
    }

    /// Returns the longest expected wait with which a statement is admitted.
    #[must_use]
    pub fn max_expected_wait(allowed: Duration) -> Duration {
        allowed * EXPECTED_WAIT_QUARTERS / 4
    }
}
