use std::time::Duration;

use crate::units::MonotonicTime;

/// Works out how long a message was on its way, from the sender's times.
///
/// Load pattern: a gateway that was frozen finds a full queue of statements whose callers have
/// gone. The clocks of the two instances differ by an unknown offset, which the fastest message
/// of the connection bounds; what another one took longer than that is its delay.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameClock {
    least_offset: Option<i128>,
}

impl FrameClock {
    /// Returns the delay of a message that was sent at `sent_at` by the sender's clock.
    pub fn delay(&mut self, sent_at: MonotonicTime, now: MonotonicTime) -> Duration {
        let offset = i128::from(now.as_micros()) - i128::from(sent_at.as_micros());
        let least = self.least_offset.map_or(offset, |least| least.min(offset));
        self.least_offset = Some(least);
        Duration::from_micros(u64::try_from(offset - least).unwrap_or(u64::MAX))
    }
}
