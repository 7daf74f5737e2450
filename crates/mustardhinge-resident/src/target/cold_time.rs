//! The time for which a target is slow after its start.

use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;

use super::TargetHandle;
use crate::plan::TargetEntry;

impl TargetHandle {
    /// Records that the process that started at `born_ms` remains slow for `left`.
    pub fn observe_cold_time(&self, left: Duration, born_ms: u64, now: MonotonicTime) {
        let mut cold = self.cold.get();
        cold.observe(left, born_ms, now);
        self.cold.set(cold);
    }

    /// Records that, as another instance computed, the process that started at `born_ms` remains slow
    /// for `left`.
    pub fn observe_relayed_cold_time(&self, left: Duration, born_ms: u64, now: MonotonicTime) {
        let mut cold = self.cold.get();
        cold.observe_relayed(left, born_ms, now);
        self.cold.set(cold);
    }

    /// Returns the part of its usual reads that the target gets.
    #[must_use]
    pub fn cold_share(&self, now: MonotonicTime) -> f64 {
        self.cold.get().share(now)
    }

    /// Returns the entry for another instance, with the time for which the target remains slow now.
    ///
    /// The time is at least a millisecond while the entry announces one. Otherwise the digests of
    /// the instances would differ from the end of the period until the target's next heartbeat.
    #[must_use]
    pub fn relayed_entry(&self, now: MonotonicTime) -> TargetEntry {
        let left = self.cold.get().left(now).as_millis();
        let left = u64::try_from(left).unwrap_or(u64::MAX);
        let entry = self.entry();
        TargetEntry {
            cold_left_ms: if entry.is_cold() { left.max(1) } else { 0 },
            ..entry.as_ref().clone()
        }
    }
}
