use std::time::Duration;

use crate::units::MonotonicTime;

/// Uses count for about this long: several times the pause between two uses by a customer
/// that is worth a connection of its own.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// How often something was used of late; each use counts less as it ages.
///
/// Load pattern: an instance has fewer connections to a target than there are customers, a few
/// of them large. The connections of those that come often are kept; the others' are the
/// ones to close, though they were used last.
#[derive(Clone, Copy, Debug, Default)]
pub struct UseFrequency {
    uses: f64,
    counted_at: MonotonicTime,
}

impl UseFrequency {
    /// Counts a use.
    pub fn record_use(&mut self, now: MonotonicTime) {
        self.uses = self.decayed_uses(now) + 1.0;
        self.counted_at = now;
    }

    /// Returns the uses that still count.
    #[must_use]
    pub fn decayed_uses(&self, now: MonotonicTime) -> f64 {
        let age = now.saturating_since(self.counted_at);
        self.uses * (-age.as_secs_f64() / DECAY_TIME_CONSTANT.as_secs_f64()).exp()
    }
}
