use std::collections::HashMap;

use mustardhinge_core::prelude::{ServiceId, TargetId};

use super::NodeState;

/// The targets that a restored store doesn't list and that were not seen departing: their
/// registration was lost, and their servers may not have written it again yet.
#[derive(Debug, Default)]
pub(super) struct LostTargets {
    services: HashMap<TargetId, ServiceId>,
}

impl LostTargets {
    /// Records that a target is no longer used because the restored store doesn't list it.
    pub(super) fn record(&mut self, target: &TargetId, service: &ServiceId) {
        self.services.insert(target.clone(), service.clone());
    }

    /// Forgets a target that is listed again.
    pub(super) fn remove(&mut self, target: &TargetId) {
        self.services.remove(target);
    }

    /// Returns the number of lost targets of a service.
    pub(super) fn count(&self, service: &ServiceId) -> usize {
        let services = self.services.values();
        services.filter(|known| *known == service).count()
    }
}

impl NodeState {
    /// Returns the number of targets of a service whose registration a restored store has lost.
    #[must_use]
    pub fn count_lost_targets(&self, service: &ServiceId) -> usize {
        self.lost.borrow().count(service)
    }
}
