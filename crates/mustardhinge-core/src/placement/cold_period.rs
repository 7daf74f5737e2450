use std::time::Duration;

use crate::units::MonotonicTime;

/// Part of its usual reads that a target gets when its cold period begins.
const FIRST_SHARE: f64 = 0.25;
/// Longest cold period. A longer one would keep a target from its work because of a wrong entry.
const MAX_COLD_TIME: Duration = Duration::from_secs(600);

/// The time for which a target is slow after its start, as it announces it.
///
/// A target announces the rest of the time with each heartbeat, late by up to its interval, or
/// always the same value. So a period begins only with a new process or a greater value, and a
/// repeated value never extends it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mustardhinge_core::placement::ColdPeriod;
/// use mustardhinge_core::prelude::MonotonicTime;
///
/// let now = MonotonicTime::default();
/// let mut cold = ColdPeriod::default();
/// assert_eq!(cold.share(now), 1.0);
/// cold.observe(Duration::from_secs(4), 1, now);
/// assert_eq!(cold.share(now), 0.25);
/// assert_eq!(cold.share(now + Duration::from_secs(2)), 0.625);
/// assert_eq!(cold.share(now + Duration::from_secs(4)), 1.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdPeriod {
    born_ms: u64,
    /// Last time that the target announced; the greatest possible one while it isn't known.
    announced: Duration,
    /// Last rest of a period that another instance computed.
    relayed: Duration,
    began: MonotonicTime,
    ends: MonotonicTime,
}

impl ColdPeriod {
    /// Records that the process that started at `born_ms` remains slow for `left`.
    pub fn observe(&mut self, left: Duration, born_ms: u64, now: MonotonicTime) {
        let left = left.min(MAX_COLD_TIME);
        if self.apply(left, self.announced, born_ms, now) {
            self.relayed = left;
        }
        self.announced = left;
    }

    /// Records that, as another instance computed, the process that started at `born_ms` remains
    /// slow for `left`.
    ///
    /// This isn't the announced time: a target that always announces the same would otherwise seem
    /// to announce more than before once its entry is read from the store again.
    pub fn observe_relayed(&mut self, left: Duration, born_ms: u64, now: MonotonicTime) {
        let left = left.min(MAX_COLD_TIME);
        if self.apply(left, self.relayed, born_ms, now) {
            self.announced = MAX_COLD_TIME;
        }
        self.relayed = left;
    }

    /// Begins a period with a new process or, once the last one is over, with a time greater than
    /// `before`. Otherwise shortens the period. Returns whether one began.
    fn apply(
        &mut self,
        left: Duration,
        before: Duration,
        born_ms: u64,
        now: MonotonicTime,
    ) -> bool {
        let is_new_process = self.born_ms != born_ms;
        let begins = is_new_process || now >= self.ends && left > before;
        if begins {
            self.began = now;
            self.ends = now + left;
        } else {
            self.ends = self.ends.min(now + left);
        }
        self.born_ms = born_ms;
        begins
    }

    /// Returns the rest of the period.
    #[must_use]
    pub fn left(&self, now: MonotonicTime) -> Duration {
        self.ends.saturating_since(now)
    }

    /// Returns the part of its usual reads that the target gets, from a quarter to 1.
    #[must_use]
    pub fn share(&self, now: MonotonicTime) -> f64 {
        let total = self.ends.saturating_since(self.began);
        let left = self.left(now);
        if left.is_zero() || total.is_zero() {
            return 1.0;
        }
        1.0 - (1.0 - FIRST_SHARE) * (left.as_secs_f64() / total.as_secs_f64())
    }
}
