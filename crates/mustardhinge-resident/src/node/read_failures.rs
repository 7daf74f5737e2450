//! Targets that fail a part of this instance's reads, under overload control.

use mustardhinge_core::overload::ReductionLimits;
use mustardhinge_core::prelude::{CustomerId, MonotonicTime, ServiceId, TargetId};
use mustardhinge_process::event;

use super::NodeState;
use crate::target::TargetHandle;

impl NodeState {
    /// Records whether a target served a customer's read, which matters only with overload control.
    /// Reads that end after the removal of their target don't count.
    pub(crate) fn record_read_outcome(
        &self,
        target: &TargetHandle,
        customer: &CustomerId,
        is_served: bool,
        now: MonotonicTime,
    ) {
        if !self.overload_control().is_on() || target.is_removed() {
            return;
        }
        let entry = target.entry();
        let place = (&entry.service, &entry.target);
        let mut failures = self.failures.borrow_mut();
        let has_changed = if is_served {
            failures.record_served(place, &entry.zone, customer, now)
        } else {
            let limits = || self.reduction_limits(target);
            failures.record_failed(place, &entry.zone, (customer, limits), now)
        };
        if !has_changed {
            return;
        }
        if !is_served {
            metrics::counter!("resident_reduced_targets_total").increment(1);
        }
        let share = failures.share(place, now);
        event::TARGET_SHARE_CHANGED.log(format_args!("target={} share={share}", entry.target));
    }

    fn reduction_limits(&self, target: &TargetHandle) -> ReductionLimits {
        let entry = target.entry();
        let groups = self.groups.borrow();
        let targets = groups.values().flat_map(|group| group.targets());
        let in_zone = targets.filter(|target| target.entry().zone == entry.zone);
        let group = groups.get(&entry.service);
        ReductionLimits {
            zone_targets: in_zone.count(),
            group_targets: group.map_or(0, |group| group.targets().len()),
        }
    }

    /// Returns the part of its usual reads that a target gets while it is cold or fails some of them.
    pub(crate) fn read_share(&self, target: &TargetHandle, now: MonotonicTime) -> f64 {
        target.cold_share(now) * self.failure_share(target, now)
    }

    fn failure_share(&self, target: &TargetHandle, now: MonotonicTime) -> f64 {
        let entry = target.entry();
        let failures = self.failures.borrow();
        failures.share((&entry.service, &entry.target), now)
    }

    /// Forgets the failures of a target that has restarted, moved or left.
    pub(super) fn forget_failures(&self, place: (&ServiceId, &TargetId)) {
        self.failures.borrow_mut().remove(place);
    }
}
