use std::time::Duration;

use super::RequestAmount;
use crate::units::MonotonicTime;

/// A moving average of how often something happens.
#[derive(Clone, Copy, Debug)]
pub struct DemandMeter {
    /// The time over which the average forgets, in seconds.
    time_constant_s: f64,
    events_per_second: f64,
    updated_at: MonotonicTime,
}

impl DemandMeter {
    /// Starts at nothing; the average forgets over the time of `memory`.
    #[must_use]
    pub fn new(time_constant: Duration, now: MonotonicTime) -> Self {
        Self {
            time_constant_s: time_constant.as_secs_f64(),
            events_per_second: 0.0,
            updated_at: now,
        }
    }

    /// Counts events that happened now.
    pub fn count(&mut self, events: u32, now: MonotonicTime) {
        self.add(f64::from(events), now);
    }

    /// Counts an amount of requests that were lent now.
    pub fn count_amount(&mut self, amount: RequestAmount, now: MonotonicTime) {
        let requests = amount.as_millis() as f64 / 1_000.0;
        self.add(requests, now);
    }

    /// Returns the average rate, in events a second.
    #[must_use]
    pub fn per_second(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.saturating_since(self.updated_at).as_secs_f64();
        self.events_per_second * (-elapsed / self.time_constant_s).exp()
    }

    /// Returns the events expected in a time to come, rounded down.
    #[must_use]
    pub fn expected_in(&self, time: Duration, now: MonotonicTime) -> u32 {
        let events = self.per_second(now) * time.as_secs_f64();
        // A float cast saturates at the bounds of the type.
        events as u32
    }

    fn add(&mut self, events: f64, now: MonotonicTime) {
        self.events_per_second = self.per_second(now) + events / self.time_constant_s;
        self.updated_at = self.updated_at.max(now);
    }
}
