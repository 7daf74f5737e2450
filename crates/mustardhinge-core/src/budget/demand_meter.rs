use std::time::Duration;

use super::RequestAmount;
use crate::units::MonotonicTime;

/// An exponentially decaying average of an event rate.
#[derive(Clone, Copy, Debug)]
pub struct DemandMeter {
    /// The time constant of the decay, in seconds.
    time_constant_s: f64,
    events_per_second: f64,
    updated_at: MonotonicTime,
}

impl DemandMeter {
    /// Creates a meter at rate zero that decays with `time_constant`.
    #[must_use]
    pub fn new(time_constant: Duration, now: MonotonicTime) -> Self {
        Self {
            time_constant_s: time_constant.as_secs_f64(),
            events_per_second: 0.0,
            updated_at: now,
        }
    }

    /// Records events that happened at `now`.
    pub fn count(&mut self, events: u32, now: MonotonicTime) {
        self.add(f64::from(events), now);
    }

    /// Records an amount of requests granted at `now`.
    pub fn count_amount(&mut self, amount: RequestAmount, now: MonotonicTime) {
        let requests = amount.as_millis() as f64 / 1_000.0;
        self.add(requests, now);
    }

    /// Returns the average rate, in events per second.
    #[must_use]
    pub fn per_second(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.saturating_since(self.updated_at).as_secs_f64();
        self.events_per_second * (-elapsed / self.time_constant_s).exp()
    }

    /// Returns the number of events expected within `time`, rounded down.
    #[must_use]
    pub fn expected_in(&self, time: Duration, now: MonotonicTime) -> u32 {
        let events = self.per_second(now) * time.as_secs_f64();
        // A cast from float to integer saturates.
        events as u32
    }

    fn add(&mut self, events: f64, now: MonotonicTime) {
        self.events_per_second = self.per_second(now) + events / self.time_constant_s;
        self.updated_at = self.updated_at.max(now);
    }
}
