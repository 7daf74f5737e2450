use std::collections::BTreeSet;

use super::OverloadControl;
use crate::ids::ZoneId;

/// Decides whether overload control applies to a deployment.
///
/// It does if the settings request it, or if demand and targets are uneven: callers arrive in
/// an availability zone that has never had a target. A zone whose targets are only gone for a
/// while doesn't count, so that an outage changes nothing.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::overload::{OverloadControl, OverloadSwitch};
/// use mustardhinge_core::prelude::ZoneId;
///
/// let zones: Vec<ZoneId> = ["north", "south"].map(|zone| zone.parse().unwrap()).to_vec();
/// let mut switch = OverloadSwitch::new(false, zones.clone());
/// assert_eq!(switch.current(), OverloadControl::Off);
/// switch.record_targets([&zones[0]]);
/// assert_eq!(switch.current(), OverloadControl::On);
/// switch.record_targets([&zones[1]]);
/// assert_eq!(switch.current(), OverloadControl::Off);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OverloadSwitch {
    is_requested: bool,
    zones: Vec<ZoneId>,
    zones_with_targets: BTreeSet<ZoneId>,
}

impl OverloadSwitch {
    /// Creates the switch of a deployment with these availability zones.
    #[must_use]
    pub const fn new(is_requested: bool, zones: Vec<ZoneId>) -> Self {
        Self {
            is_requested,
            zones,
            zones_with_targets: BTreeSet::new(),
        }
    }

    /// Records the availability zones of the listed targets.
    pub fn record_targets<'a>(&mut self, zones: impl IntoIterator<Item = &'a ZoneId>) {
        for zone in zones {
            if !self.zones_with_targets.contains(zone) {
                self.zones_with_targets.insert(zone.clone());
            }
        }
    }

    /// Returns whether overload control applies. As long as no target is known, only the settings
    /// decide.
    #[must_use]
    pub fn current(&self) -> OverloadControl {
        let has_targets = !self.zones_with_targets.is_empty();
        let lacks_targets = |zone: &ZoneId| !self.zones_with_targets.contains(zone);
        if self.is_requested || has_targets && self.zones.iter().any(lacks_targets) {
            OverloadControl::On
        } else {
            OverloadControl::Off
        }
    }
}
