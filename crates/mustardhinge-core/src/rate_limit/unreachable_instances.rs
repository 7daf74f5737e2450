use std::collections::HashMap;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::units::MonotonicTime;

/// An instance that was not heard for this long is taken to spend its part alone; a little
/// less than the time after which it does.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(600);
/// How often it is looked who that is, which is less than that difference.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Which instances go on without the holder, and since when they were not heard.
///
/// Load pattern: thousands of reports a second ask for it, and it seldom changes.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreachableInstances {
    last_requests: HashMap<InstanceId, MonotonicTime>,
    unreachable: Vec<(InstanceId, MonotonicTime)>,
    updated_at: Option<MonotonicTime>,
}

impl UnreachableInstances {
    /// Notes that an instance was heard.
    pub(super) fn record_request(&mut self, instance: &InstanceId, now: MonotonicTime) {
        let before = self.last_requests.insert(instance.clone(), now);
        if before.is_some_and(|at| now.saturating_since(at) > UNREACHABLE_AFTER) {
            self.unreachable.retain(|(other, _)| other != instance);
        }
    }

    /// Returns the instances that go on alone, each with the time when it was heard last.
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
