use std::time::Duration;

use crate::units::MonotonicTime;

/// Works out how long a message was on its way, from the sender's times.
///
/// Load pattern: a gateway that was frozen finds a full queue of statements whose callers have
/// gone. The clocks of the two instances differ by an unknown offset, which the fastest message
/// of the connection bounds; what another one took longer than that is its delay.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayEstimator {
    min_offset: Option<i128>,
}

impl DelayEstimator {
    /// Returns the delay of a message that was sent at `sent_at` by the sender's clock.
    pub fn delay(&mut self, sent_at: MonotonicTime, now: MonotonicTime) -> Duration {
        let offset = i128::from(now.as_micros()) - i128::from(sent_at.as_micros());
        let min = self.min_offset.map_or(offset, |min| min.min(offset));
        self.min_offset = Some(min);
        Duration::from_micros(u64::try_from(offset - min).unwrap_or(u64::MAX))
    }
}
