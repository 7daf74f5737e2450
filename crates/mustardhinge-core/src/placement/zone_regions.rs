use std::collections::BTreeMap;

use crate::ids::{RegionName, ZoneId};

/// The region of each availability zone of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRegions {
    regions: BTreeMap<ZoneId, RegionName>,
}

impl ZoneRegions {
    /// Returns the region of a zone, or `None` for an unknown zone.
    #[must_use]
    pub fn region_of(&self, zone: &ZoneId) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// Returns whether any zone is in `region`.
    #[must_use]
    pub fn has_region(&self, region: &RegionName) -> bool {
        self.regions.values().any(|known| known == region)
    }
}

impl FromIterator<(ZoneId, RegionName)> for ZoneRegions {
    fn from_iter<I: IntoIterator<Item = (ZoneId, RegionName)>>(regions: I) -> Self {
        Self {
            regions: regions.into_iter().collect(),
        }
    }
}
