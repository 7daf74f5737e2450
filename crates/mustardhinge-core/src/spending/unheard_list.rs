use std::collections::HashMap;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::units::MonotonicTime;

/// An instance that was not heard for this long is taken to spend its part alone; a little
/// less than the time after which it does.
const ALONE_AFTER: Duration = Duration::from_millis(600);
/// How often it is looked who that is, which is less than that difference.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Which instances go on without the holder, and since when they were not heard.
///
/// Load pattern: thousands of reports a second ask for it, and it seldom changes.
#[derive(Clone, Debug, Default)]
pub(super) struct UnheardList {
    heard: HashMap<InstanceId, MonotonicTime>,
    unheard: Vec<(InstanceId, MonotonicTime)>,
    looked_at: Option<MonotonicTime>,
}

impl UnheardList {
    /// Notes that an instance was heard.
    pub(super) fn heard(&mut self, instance: &InstanceId, now: MonotonicTime) {
        let before = self.heard.insert(instance.clone(), now);
        if before.is_some_and(|at| now.saturating_since(at) > ALONE_AFTER) {
            self.unheard.retain(|(other, _)| other != instance);
        }
    }

    /// Returns the instances that go on alone, each with the time when it was heard last.
    pub(super) fn look(&mut self, now: MonotonicTime) -> &[(InstanceId, MonotonicTime)] {
        let is_due = |at| now.saturating_since(at) >= LOOK_EVERY;
        if self.looked_at.is_none_or(is_due) {
            self.looked_at = Some(now);
            let heard = self.heard.iter();
            let unheard = heard.filter(|(_, at)| now.saturating_since(**at) > ALONE_AFTER);
            self.unheard = unheard.map(|(id, at)| (id.clone(), *at)).collect();
        }
        &self.unheard
    }
}
