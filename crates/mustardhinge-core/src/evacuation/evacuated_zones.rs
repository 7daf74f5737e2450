use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::{EvacuationVersion, TargetUse};
use crate::ids::ZoneId;
use crate::primary_lease::RecordRevision;
use crate::units::MonotonicTime;

/// The evacuated zones that an instance knows, each with the time since when.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mustardhinge_core::evacuation::{EvacuatedZones, TargetUse};
/// use mustardhinge_core::prelude::{MonotonicTime, ZoneId};
/// use mustardhinge_core::primary_lease::{RecordRevision, StoreEra};
///
/// let north: ZoneId = "north".parse().unwrap();
/// let now = MonotonicTime::default();
/// let mut zones = EvacuatedZones::default();
/// assert_eq!(zones.target_use(&north, now), TargetUse::Usable);
/// let revision = RecordRevision::new(StoreEra::default(), 7);
/// zones.adopt([(north.clone(), now)], revision);
/// assert_eq!(zones.target_use(&north, now), TargetUse::Vacating);
/// let later = now + Duration::from_secs(5);
/// assert_eq!(zones.target_use(&north, later), TargetUse::Evacuated);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    zones: BTreeMap<ZoneId, MonotonicTime>,
    revision: RecordRevision,
}

impl EvacuatedZones {
    /// Replaces the set unless the given one is older. Returns whether a zone was added or removed.
    ///
    /// A zone that stays keeps the earliest time at which any instance knew of it.
    pub fn adopt(
        &mut self,
        zones: impl IntoIterator<Item = (ZoneId, MonotonicTime)>,
        revision: RecordRevision,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let before = self.version().digest;
        let known = std::mem::take(&mut self.zones);
        self.revision = revision;
        for (zone, since) in zones {
            let since = known.get(&zone).map_or(since, |known| since.min(*known));
            self.zones.insert(zone, since);
        }
        self.version().digest != before
    }

    /// Adds a zone. Returns whether it is new.
    pub fn put(&mut self, zone: ZoneId, now: MonotonicTime) -> bool {
        let is_new = !self.zones.contains_key(&zone);
        self.zones.entry(zone).or_insert(now);
        is_new
    }

    /// Removes a zone. Returns whether it was in the set.
    pub fn remove(&mut self, zone: &ZoneId) -> bool {
        self.zones.remove(zone).is_some()
    }

    /// Records the revision up to which changes were applied.
    pub fn advance(&mut self, revision: RecordRevision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the version of the set.
    #[must_use]
    pub fn version(&self) -> EvacuationVersion {
        let mut hasher = DefaultHasher::new();
        for zone in self.zones.keys() {
            zone.as_str().hash(&mut hasher);
        }
        EvacuationVersion {
            revision: self.revision,
            digest: if self.zones.is_empty() {
                0
            } else {
                hasher.finish()
            },
        }
    }

    /// Returns the zones, each with the time since when it is known to be evacuated.
    pub fn iter(&self) -> impl Iterator<Item = (&ZoneId, MonotonicTime)> {
        self.zones.iter().map(|(zone, since)| (zone, *since))
    }

    /// Returns since when a zone is known to be evacuated, or `None` if it isn't.
    #[must_use]
    pub fn since(&self, zone: &ZoneId) -> Option<MonotonicTime> {
        self.zones.get(zone).copied()
    }

    /// Returns the use of the targets of a zone.
    #[must_use]
    pub fn target_use(&self, zone: &ZoneId, now: MonotonicTime) -> TargetUse {
        TargetUse::at(self.since(zone), now)
    }
}
