use super::recent_count::RecentCount;
use crate::units::MonotonicTime;

/// One retry is allowed for this many operations.
const OPERATIONS_PER_RETRY: u32 = 10;
/// Retries that are always allowed, so that a customer with few operations survives the loss of a
/// target.
const MIN_RETRIES: u32 = 3;

/// Limits retries to a tenth of the operations of the last 10 s, at least 3.
///
/// Load pattern: a target refuses or loses part of its statements because it is overloaded. If
/// each of them is tried up to six times, the load on the other targets multiplies.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::prelude::MonotonicTime;
/// use mustardhinge_core::retry::RecentRetries;
///
/// let mut retries = RecentRetries::default();
/// let now = MonotonicTime::from_millis(5);
/// for _ in 0..40 {
///     retries.record_operation(now);
/// }
/// assert_eq!((0..40).filter(|_| retries.admit(now)).count(), 4);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentRetries {
    operations: RecentCount,
    retries: RecentCount,
}

impl RecentRetries {
    /// Counts an operation, by its first attempt.
    pub fn record_operation(&mut self, now: MonotonicTime) {
        self.operations.record(now);
    }

    /// Counts a retry if it is allowed. Returns whether it is.
    pub fn admit(&mut self, now: MonotonicTime) -> bool {
        let allowed = (self.operations.total(now) / OPERATIONS_PER_RETRY).max(MIN_RETRIES);
        let is_allowed = self.retries.total(now) < allowed;
        if is_allowed {
            self.retries.record(now);
        }
        is_allowed
    }

    /// Returns whether nothing was counted recently.
    pub fn is_unused(&mut self, now: MonotonicTime) -> bool {
        self.operations.total(now) == 0 && self.retries.total(now) == 0
    }
}
