use std::time::Duration;

use crate::units::MonotonicTime;

/// Estimates the transit delay of messages from the sender's timestamps.
///
/// Load pattern: a gateway resumes after a freeze and reads a backlog of statements whose callers
/// have already given up. The clocks of the two instances differ by an unknown offset, so delay
/// is measured relative to the fastest message of the connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayEstimator {
    min_offset: Option<i128>,
}

impl DelayEstimator {
    /// Records a message and returns its delay; `sent_at` is a time of the sender's clock.
    pub fn delay(&mut self, sent_at: MonotonicTime, now: MonotonicTime) -> Duration {
        let offset = i128::from(now.as_micros()) - i128::from(sent_at.as_micros());
        let min = self.min_offset.map_or(offset, |min| min.min(offset));
        self.min_offset = Some(min);
        Duration::from_micros(u64::try_from(offset - min).unwrap_or(u64::MAX))
    }
}
