use std::time::Duration;

use super::unreported_instances::UnreportedInstances;
use crate::units::MonotonicTime;

/// Time after its first request for which a leader counts the instances that its predecessor knew;
/// a second longer than an isolated instance may use the share that the predecessor granted.
const PREDECESSOR_VALIDITY: Duration = Duration::from_secs(16);

/// The instances that may exist while a leader has not received a request from all of them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListedInstances {
    /// Whether the numbers are not known from an earlier leader.
    is_unknown: bool,
    first_request_at: Option<MonotonicTime>,
    /// The largest number of instances that was known since.
    count: usize,
    has_predecessor: bool,
}

impl ListedInstances {
    /// Creates the list of a leader that doesn't know how many instances its predecessor had.
    pub(super) fn unknown() -> Self {
        Self {
            is_unknown: true,
            ..Self::default()
        }
    }

    /// Records the number of instances that are known when a request arrives.
    ///
    /// A leader's own list loses the instances that it can't reach, so the number may decrease
    /// while they still use their shares.
    pub(super) fn record_request(&mut self, instances: usize, now: MonotonicTime) {
        self.first_request_at.get_or_insert(now);
        self.count = self.count.max(instances);
    }

    /// Records that an instance has reported a level which an earlier leader granted.
    pub(super) const fn record_predecessor(&mut self) {
        self.has_predecessor = true;
    }

    /// Returns the instances without a request, of which `heard` others have sent one. There are
    /// none if no earlier leader has granted shares.
    pub(super) fn unreported(&self, heard: usize, now: MonotonicTime) -> UnreportedInstances {
        let is_valid = |since| now.saturating_since(since) < PREDECESSOR_VALIDITY;
        let is_reserved =
            self.has_predecessor && !self.is_unknown && self.first_request_at.is_some_and(is_valid);
        UnreportedInstances {
            listed: self.count.max(1),
            heard,
            count: if is_reserved {
                self.count.saturating_sub(heard)
            } else {
                0
            },
        }
    }
}
