//! The capacity of a target as observed, under overload control.

use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_process::event;

use super::TargetHandle;
use super::target_gateways::LATENCY_MAX_AGE;

impl TargetHandle {
    /// Returns the number of slots for the placement of reads: the effective ones as reported by the
    /// gateway or else as observed here, at most the listed number.
    #[must_use]
    pub fn shared_slots(&self, now: MonotonicTime) -> usize {
        let listed = self.entry().slots;
        if !self.is_overload_controlled() {
            return listed;
        }
        let reported = self
            .gateway_load
            .get()
            .filter(|(load, at)| load.slots > 0 && now.saturating_since(*at) < LATENCY_MAX_AGE);
        let slots = match reported {
            Some((load, _)) => usize::from(load.slots),
            None => self.queue.effective_slots(now),
        };
        slots.min(listed)
    }

    /// Records that the target shed a statement.
    ///
    /// Other instances' statements count only by the gateway's report. A single statement of this
    /// instance without a report doesn't show how many the target ran, so nothing is learned from it.
    pub(super) fn record_shed(&self, now: MonotonicTime) {
        if !self.is_overload_controlled() {
            return;
        }
        let own = self.queue.running();
        let reported = self.gateway_load(now).map(|load| load.statements as usize);
        if own < 2 && reported.is_none() {
            return;
        }
        self.queue.record_shed(own.max(reported.unwrap_or(0)), now);
        self.show_slots(now);
    }

    /// Forgets the observed capacity of a target that now has `listed` slots.
    pub(super) fn reset_capacity(&self, listed: usize) {
        self.queue.reset_capacity(listed);
        self.show((self.entry().slots, listed), listed);
    }

    /// Records that the target completed a caller's statement.
    pub(super) fn record_completed(&self, now: MonotonicTime) {
        if self.is_overload_controlled() {
            self.queue.record_completed(now);
            self.show_slots(now);
        }
    }

    /// Updates the metric, and logs when the target falls below its listed slots or returns to them.
    fn show_slots(&self, now: MonotonicTime) {
        let listed = self.entry().slots;
        self.show((listed, listed), self.queue.effective_slots(now));
    }

    fn show(&self, (listed_before, listed): (usize, usize), slots: usize) {
        let before = self.shown_slots.replace(slots);
        if slots == before {
            return;
        }
        let target = self.id();
        metrics::gauge!("resident_target_effective_slots", "target" => target.to_string())
            .set(slots as f64);
        if (slots < listed) != (before < listed_before) {
            event::TARGET_CAPACITY_CHANGED.log(format_args!(
                "target={target} slots={slots} listed={listed}"
            ));
        }
    }
}
