//! Targets that are slow for some time after their start.

use std::time::Duration;

use mustardhinge_core::prelude::{MonotonicTime, ServiceId, TargetId};

use super::NodeState;

/// Where an entry was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntrySource {
    Store,
    /// Another instance, which replaces the announced cold time by the rest of it.
    Relay,
}

impl NodeState {
    /// Applies the time for which a target remains slow according to its entry.
    pub(super) fn apply_cold_time(
        &self,
        (service, target): (&ServiceId, &TargetId),
        source: EntrySource,
        now: MonotonicTime,
    ) {
        let group = self.find_group(service);
        if let Some(handle) = group.and_then(|group| group.find(target)) {
            let entry = handle.entry();
            let left = Duration::from_millis(entry.cold_left_ms);
            match source {
                EntrySource::Store => handle.observe_cold_time(left, entry.born_ms, now),
                EntrySource::Relay => handle.observe_relayed_cold_time(left, entry.born_ms, now),
            }
        }
    }

    /// Returns whether a target is slow after its start, which matters only with overload control.
    #[must_use]
    pub fn is_cold(&self, (service, target): (&ServiceId, &TargetId), now: MonotonicTime) -> bool {
        self.overload_control().is_on()
            && self
                .find_group(service)
                .and_then(|group| group.find(target))
                .is_some_and(|handle| handle.cold_share(now) < 1.0)
    }
}
