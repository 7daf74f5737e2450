use std::time::Duration;

use crate::units::MonotonicTime;

use super::{PoolAction, PoolLimit};

/// Estimates how many connections a pool needs: the recent peak of concurrent
/// use, plus one spare connection that is opened in advance.
#[derive(Clone, Debug)]
pub struct PoolDemand {
    limit: PoolLimit,
    window: Duration,
    peak: u32,
    previous_peak: u32,
    window_end: MonotonicTime,
}

impl PoolDemand {
    /// Connections kept open beyond the recent peak.
    const SPARE_CONNECTIONS: u32 = 1;

    /// Creates an estimate that remembers a peak for one to two windows.
    #[must_use]
    pub fn new(limit: PoolLimit, window: Duration, now: MonotonicTime) -> Self {
        Self {
            limit,
            window,
            peak: 0,
            previous_peak: 0,
            window_end: now + window,
        }
    }

    /// Records that `used` connections are in use or requested.
    pub fn observe(&mut self, used: u32, now: MonotonicTime) {
        if now >= self.window_end {
            self.previous_peak = self.peak;
            self.peak = 0;
            self.window_end = now + self.window;
        }
        self.peak = self.peak.max(used);
    }

    /// Returns how a pool with `open` connections should change, where `open`
    /// includes connections that are being opened.
    #[must_use]
    pub fn action(&self, open: u32) -> PoolAction {
        let peak = self.peak.max(self.previous_peak);
        let wanted = (peak + Self::SPARE_CONNECTIONS).min(self.limit.connections());
        match open {
            open if open < wanted => PoolAction::Open(wanted - open),
            open if open > wanted => PoolAction::CloseIdle(open - wanted),
            _ => PoolAction::Keep,
        }
    }
}
