use std::time::Duration;

use crate::units::MonotonicTime;

/// Number of intervals that are counted, the current one included.
const INTERVALS: usize = 10;
/// Length of an interval.
const INTERVAL: Duration = Duration::from_secs(1);

/// Number of events of the last 10 s, counted by the second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentCount {
    counts: [u32; INTERVALS],
    /// Number of the current interval since the start of the clock.
    interval: u64,
}

impl RecentCount {
    /// Counts an event.
    pub(super) fn record(&mut self, now: MonotonicTime) {
        self.advance(now);
        let current = &mut self.counts[index_of(self.interval)];
        *current = current.saturating_add(1);
    }

    /// Returns the number of recent events.
    pub(super) fn total(&mut self, now: MonotonicTime) -> u32 {
        self.advance(now);
        self.counts
            .iter()
            .fold(0, |total, count| total.saturating_add(*count))
    }

    /// Clears the intervals that have ended since the last call.
    fn advance(&mut self, now: MonotonicTime) {
        let interval = now.as_micros() / INTERVAL.as_micros() as u64;
        let passed = interval.saturating_sub(self.interval);
        self.interval = self.interval.max(interval);
        for back in 0..passed.min(INTERVALS as u64) {
            self.counts[index_of(interval - back)] = 0;
        }
    }
}

const fn index_of(interval: u64) -> usize {
    // The remainder is less than the number of intervals.
    (interval % INTERVALS as u64) as usize
}
