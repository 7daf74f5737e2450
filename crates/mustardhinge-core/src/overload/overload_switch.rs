use std::collections::{BTreeMap, BTreeSet};

use super::OverloadControl;
use crate::ids::{ServiceId, ZoneId};

/// Decides whether overload control applies to a deployment.
///
/// It does if the settings request it, or if demand and targets are uneven: callers arrive in
/// every availability zone, and no service has had targets in all of them since the process
/// started. Targets that are gone for a while still count, so that an outage changes nothing on a
/// running instance; one that starts while a whole zone has no listed target takes the deployment
/// for uneven until the zone's targets are listed again.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::overload::{OverloadControl, OverloadSwitch};
/// use mustardhinge_core::prelude::{ServiceId, ZoneId};
///
/// let service: ServiceId = "orders".parse().unwrap();
/// let zones: Vec<ZoneId> = ["north", "south"].map(|zone| zone.parse().unwrap()).to_vec();
/// let mut switch = OverloadSwitch::new(false, zones.clone());
/// assert_eq!(switch.current(), OverloadControl::Off);
/// switch.record_targets([(&service, &zones[0])]);
/// assert_eq!(switch.current(), OverloadControl::On);
/// switch.record_targets([(&service, &zones[1])]);
/// assert_eq!(switch.current(), OverloadControl::Off);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OverloadSwitch {
    is_requested: bool,
    zones: Vec<ZoneId>,
    zones_of_services: BTreeMap<ServiceId, BTreeSet<ZoneId>>,
}

impl OverloadSwitch {
    /// Creates the switch of a deployment with these availability zones.
    #[must_use]
    pub const fn new(is_requested: bool, zones: Vec<ZoneId>) -> Self {
        Self {
            is_requested,
            zones,
            zones_of_services: BTreeMap::new(),
        }
    }

    /// Records the services and availability zones of the listed targets.
    pub fn record_targets<'a>(
        &mut self,
        targets: impl IntoIterator<Item = (&'a ServiceId, &'a ZoneId)>,
    ) {
        for (service, zone) in targets {
            let zones = self.zones_of_services.entry(service.clone()).or_default();
            zones.insert(zone.clone());
        }
    }

    /// Returns whether overload control applies. As long as no target is known, only the settings
    /// decide.
    #[must_use]
    pub fn current(&self) -> OverloadControl {
        let mut services = self.zones_of_services.values();
        let has_targets = !self.zones_of_services.is_empty();
        let has_even_service =
            services.any(|covered| self.zones.iter().all(|zone| covered.contains(zone)));
        if self.is_requested || has_targets && !has_even_service {
            OverloadControl::On
        } else {
            OverloadControl::Off
        }
    }
}
