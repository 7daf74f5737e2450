//! The evacuated zones that an instance knows, and their effect on its targets.

use mustardhinge_core::evacuation::{EvacuatedZones, EvacuationVersion};
use mustardhinge_core::prelude::{MonotonicTime, ZoneId};
use mustardhinge_core::primary_lease::RecordRevision;
use mustardhinge_process::event;

use super::NodeState;
use crate::target::TargetHandle;

impl NodeState {
    /// Replaces the set of evacuated zones unless the given one is older.
    pub fn adopt_evacuations(
        &self,
        zones: Vec<(ZoneId, MonotonicTime)>,
        revision: RecordRevision,
        origin: &str,
    ) {
        self.change_evacuations(origin, |known, now| known.adopt(zones, revision, now));
    }

    /// Replaces the set of evacuated zones by that of another instance, unless it is older.
    pub fn adopt_relayed_evacuations(
        &self,
        zones: Vec<(ZoneId, MonotonicTime)>,
        revision: RecordRevision,
    ) {
        self.change_evacuations("peer", |known, now| {
            known.adopt_relayed(zones, revision, now)
        });
    }

    /// Applies changes that were read from the store. `change` returns whether a zone was added or
    /// removed.
    pub fn update_evacuations(
        &self,
        change: impl FnOnce(&mut EvacuatedZones, MonotonicTime) -> bool,
    ) {
        self.change_evacuations("store", change);
    }

    /// Ends the evacuations that a restored store still lacks once their time is up.
    pub fn expire_evacuations(&self, now: MonotonicTime) {
        let has_expired = self.evacuations.borrow_mut().expire_missing(now);
        if has_expired {
            self.change_evacuations("expired", |_, _| true);
        }
    }

    fn change_evacuations(
        &self,
        origin: &str,
        change: impl FnOnce(&mut EvacuatedZones, MonotonicTime) -> bool,
    ) {
        let has_changed = change(&mut self.evacuations.borrow_mut(), self.clock.now());
        for group in self.groups() {
            for target in group.targets() {
                self.apply_evacuation(&target);
            }
        }
        if has_changed {
            let zones = self.evacuations.borrow();
            let names: Vec<_> = zones.in_force().map(ZoneId::as_str).collect();
            event::EVACUATIONS_CHANGED.log(format_args!(
                "zones={names:?} revision={} origin={origin}",
                zones.version().revision
            ));
            // The leader hands primaries over as soon as it knows.
            self.leader_request_due.notify_one();
        }
    }

    /// Applies the evacuation of a target's zone, or its end, to the target.
    pub(super) fn apply_evacuation(&self, target: &TargetHandle) {
        let since = self.evacuations.borrow().since(&target.entry().zone);
        target.set_evacuated_since(since);
        target.reject_evacuated(self.clock.now());
    }

    /// Returns the version of the set of evacuated zones.
    #[must_use]
    pub fn evacuation_version(&self) -> EvacuationVersion {
        self.evacuations.borrow().version()
    }

    /// Returns the evacuated zones that the store lists, each with the time since when it is known to be evacuated.
    #[must_use]
    pub fn evacuated_zones(&self) -> Vec<(ZoneId, MonotonicTime)> {
        let zones = self.evacuations.borrow();
        zones
            .iter()
            .map(|(zone, since)| (zone.clone(), since))
            .collect()
    }
}
