use std::collections::BTreeMap;
use std::time::Duration;

use crate::budget::{DemandMeter, RequestAmount};
use crate::ids::ZoneId;
use crate::units::MonotonicTime;

/// The rate of grants to the entries of each zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTable {
    zones: BTreeMap<ZoneId, DemandMeter>,
}

impl DemandTable {
    /// The time constant of the averages: long enough that random variation moves no
    /// shares.
    const TIME_CONSTANT: Duration = Duration::from_secs(30);

    pub(crate) fn count(&mut self, zone: &ZoneId, granted: RequestAmount, now: MonotonicTime) {
        if granted == RequestAmount::ZERO {
            return;
        }
        self.zones
            .entry(zone.clone())
            .or_insert_with(|| DemandMeter::new(Self::TIME_CONSTANT, now))
            .count_amount(granted, now);
    }

    /// Returns the zone other than `own` with the highest rate of grants, and that rate
    /// in requests per second.
    pub(crate) fn highest_remote(&self, own: &ZoneId, now: MonotonicTime) -> Option<(ZoneId, f64)> {
        let others = self.zones.iter().filter(|(zone, _)| *zone != own);
        others
            .map(|(zone, meter)| (zone.clone(), meter.per_second(now)))
            .max_by(|one, other| one.1.total_cmp(&other.1))
    }
}
