use std::fmt;

use serde::{Deserialize, Serialize};

use super::ZoneRegions;
use crate::ids::{RegionName, ZoneId};

/// The regions to which the statements of a route or a customer are restricted.
///
/// A statement without a restriction has no `HomeRegions`. An intersection without a region allows
/// no target. A zone without a known region is in no home, so that a missing setting can't let a
/// statement leave its homes.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::placement::{HomeRegions, ZoneRegions};
///
/// let regions: ZoneRegions = [("z1", "north"), ("z2", "south")]
///     .map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()))
///     .into_iter()
///     .collect();
/// let [north, south] = ["z1", "z2"].map(|zone| zone.parse().unwrap());
/// let homes = HomeRegions::new(["north".parse().unwrap()]).unwrap();
/// assert!(homes.allows_target(&north, &regions));
/// assert!(!homes.allows_target(&south, &regions));
/// // The caller's own instance already has the text of the statement.
/// assert!(homes.allows_instance(&south, &south, &regions));
/// assert!(!homes.allows_instance(&south, &north, &regions));
/// assert!(HomeRegions::new([]).is_none());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRegions {
    regions: Vec<RegionName>,
}

impl HomeRegions {
    /// Creates the restriction to `regions`, or `None` without any, which restricts nothing.
    #[must_use]
    pub fn new(regions: impl IntoIterator<Item = RegionName>) -> Option<Self> {
        let mut regions: Vec<_> = regions.into_iter().collect();
        regions.sort_unstable();
        regions.dedup();
        (!regions.is_empty()).then_some(Self { regions })
    }

    /// Returns the regions that are homes of both.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        let regions = self.regions.iter();
        let regions = regions.filter(|region| other.regions.contains(region));
        Self {
            regions: regions.cloned().collect(),
        }
    }

    /// Returns whether a statement may reach a target in `zone`.
    #[must_use]
    pub fn allows_target(&self, zone: &ZoneId, regions: &ZoneRegions) -> bool {
        let region = regions.region_of(zone);
        region.is_some_and(|region| self.regions.contains(region))
    }

    /// Returns whether the text of a statement that arrived in `caller_zone` may be sent to an
    /// instance in `zone`.
    #[must_use]
    pub fn allows_instance(
        &self,
        zone: &ZoneId,
        caller_zone: &ZoneId,
        regions: &ZoneRegions,
    ) -> bool {
        let region = regions.region_of(zone);
        zone == caller_zone
            || region.is_some() && region == regions.region_of(caller_zone)
            || self.allows_target(zone, regions)
    }
}

/// The regions separated by commas, or `none`.
impl fmt::Display for HomeRegions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.regions.is_empty() {
            return f.write_str("none");
        }
        for (index, region) in self.regions.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            write!(f, "{region}")?;
        }
        Ok(())
    }
}
