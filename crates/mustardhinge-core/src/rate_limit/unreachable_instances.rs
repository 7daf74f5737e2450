use std::collections::HashMap;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::units::MonotonicTime;

/// An instance without a request for this long is treated as isolated; slightly less than the
/// time after which it uses its own share.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(600);
/// Interval at which the list is updated; less than that difference.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// The instances that can't reach the leader, each with the time of its last request.
///
/// Load pattern: thousands of reports per second read the list, and it seldom changes.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreachableInstances {
    last_requests: HashMap<InstanceId, MonotonicTime>,
    unreachable: Vec<(InstanceId, MonotonicTime)>,
    updated_at: Option<MonotonicTime>,
}

impl UnreachableInstances {
    /// Records a request of an instance.
    pub(super) fn record_request(&mut self, instance: &InstanceId, now: MonotonicTime) {
        let before = self.last_requests.insert(instance.clone(), now);
        if before.is_some_and(|at| now.saturating_since(at) > UNREACHABLE_AFTER) {
            self.unreachable.retain(|(other, _)| other != instance);
        }
    }

    /// Returns the number of instances that have sent a request.
    pub(super) fn heard(&self) -> usize {
        self.last_requests.len()
    }

    /// Returns the unreachable instances, each with the time of its last request.
    pub(super) fn current(&mut self, now: MonotonicTime) -> &[(InstanceId, MonotonicTime)] {
        let is_due = |at| now.saturating_since(at) >= UPDATE_INTERVAL;
        if self.updated_at.is_none_or(is_due) {
            self.updated_at = Some(now);
            let last_requests = self.last_requests.iter();
            let unreachable =
                last_requests.filter(|(_, at)| now.saturating_since(**at) > UNREACHABLE_AFTER);
            self.unreachable = unreachable.map(|(id, at)| (id.clone(), *at)).collect();
        }
        &self.unreachable
    }
}
