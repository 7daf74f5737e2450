use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use super::missing_evacuation::{MissingEvacuation, RELAY_GRACE_PERIOD, STORE_GRACE_PERIOD};
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
/// zones.adopt([(north.clone(), now)], revision, now);
/// assert_eq!(zones.target_use(&north, now), TargetUse::Vacating);
/// let later = now + Duration::from_secs(5);
/// assert_eq!(zones.target_use(&north, later), TargetUse::Evacuated);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    zones: BTreeMap<ZoneId, MonotonicTime>,
    /// Zones of an earlier era that the store doesn't list; not part of the version.
    missing: BTreeMap<ZoneId, MissingEvacuation>,
    revision: RecordRevision,
}

impl EvacuatedZones {
    /// Replaces the set unless the given one is older. Returns whether the zones in force changed.
    ///
    /// A zone that stays keeps the earliest time at which any instance knew of it. A list of a later
    /// era may come from a copy that is older than an evacuation, so a zone that is missing from it
    /// stays in force for 2.5 s.
    pub fn adopt(
        &mut self,
        zones: impl IntoIterator<Item = (ZoneId, MonotonicTime)>,
        revision: RecordRevision,
        now: MonotonicTime,
    ) -> bool {
        self.replace(zones, revision, STORE_GRACE_PERIOD, now)
    }

    /// Replaces the set by that of another instance, as [`Self::adopt`] does. A missing zone stays in
    /// force for 4 s, since the news that it is listed again arrives later.
    pub fn adopt_relayed(
        &mut self,
        zones: impl IntoIterator<Item = (ZoneId, MonotonicTime)>,
        revision: RecordRevision,
        now: MonotonicTime,
    ) -> bool {
        self.replace(zones, revision, RELAY_GRACE_PERIOD, now)
    }

    fn replace(
        &mut self,
        zones: impl IntoIterator<Item = (ZoneId, MonotonicTime)>,
        revision: RecordRevision,
        grace_period: Duration,
        now: MonotonicTime,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let before = self.zones_in_force();
        let known = std::mem::take(&mut self.zones);
        if revision.era() > self.revision.era() {
            self.missing.extend(known.iter().map(|(zone, since)| {
                let (since, missing_since) = (*since, now);
                let missing = MissingEvacuation {
                    since,
                    missing_since,
                    grace_period,
                };
                (zone.clone(), missing)
            }));
            for missing in self.missing.values_mut() {
                missing.missing_since = now;
                missing.grace_period = grace_period;
            }
        }
        self.revision = revision;
        for (zone, since) in zones {
            let since = known.get(&zone).map_or(since, |known| since.min(*known));
            let since = self.end_missing(&zone, since);
            self.zones.insert(zone, since);
        }
        self.zones_in_force() != before
    }

    /// Adds a zone. Returns whether it is new.
    pub fn put(&mut self, zone: ZoneId, now: MonotonicTime) -> bool {
        let is_new = self.since(&zone).is_none();
        let since = self.end_missing(&zone, now);
        self.zones.entry(zone).or_insert(since);
        is_new
    }

    /// Removes a zone. Returns whether it was in the set.
    pub fn remove(&mut self, zone: &ZoneId) -> bool {
        let was_missing = self.missing.remove(zone).is_some();
        self.zones.remove(zone).is_some() || was_missing
    }

    /// Ends the evacuations that a restored store still lacks after their time. Returns whether there
    /// were any.
    pub fn expire_missing(&mut self, now: MonotonicTime) -> bool {
        let before = self.missing.len();
        self.missing.retain(|_, missing| missing.is_in_force(now));
        self.missing.len() < before
    }

    /// Starts the time of missing evacuations again after a failed call, which may have hidden that
    /// they were written again.
    pub fn restart_missing(&mut self, now: MonotonicTime) {
        for missing in self.missing.values_mut() {
            missing.missing_since = now;
        }
    }

    /// Removes the mark of a zone that is listed again. Returns since when it is evacuated, which is
    /// `since` at the latest.
    fn end_missing(&mut self, zone: &ZoneId, since: MonotonicTime) -> MonotonicTime {
        let missing = self.missing.remove(zone);
        missing.map_or(since, |missing| missing.since.min(since))
    }

    fn zones_in_force(&self) -> BTreeSet<ZoneId> {
        self.in_force().cloned().collect()
    }

    /// Records the revision up to which changes were applied.
    pub fn advance(&mut self, revision: RecordRevision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the version of the set as the store lists it.
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

    /// Returns the zones that the store lists, each with the time since when it is known to be
    /// evacuated.
    pub fn iter(&self) -> impl Iterator<Item = (&ZoneId, MonotonicTime)> {
        self.zones.iter().map(|(zone, since)| (zone, *since))
    }

    /// Returns the zones whose evacuation is in force, also those missing from a restored store.
    pub fn in_force(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.keys().chain(self.missing.keys())
    }

    /// Returns since when a zone is known to be evacuated, or `None` if it isn't.
    #[must_use]
    pub fn since(&self, zone: &ZoneId) -> Option<MonotonicTime> {
        let listed = self.zones.get(zone).copied();
        listed.or_else(|| self.missing.get(zone).map(|missing| missing.since))
    }

    /// Returns the use of the targets of a zone.
    #[must_use]
    pub fn target_use(&self, zone: &ZoneId, now: MonotonicTime) -> TargetUse {
        TargetUse::at(self.since(zone), now)
    }
}
