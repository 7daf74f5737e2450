use std::collections::BTreeMap;
use std::time::Duration;

use super::InstanceState;
use crate::ids::{InstanceId, ZoneId};
use crate::units::MonotonicTime;

/// An entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// The availability zone of the instance.
    pub zone: ZoneId,
    /// The listed state of the instance.
    pub state: InstanceState,
}

/// The platform's instance list, which may lag, combined with recently observed failures.
///
/// The view is a hint for choosing which instance to call first. It never authorizes an
/// instance to do something.
#[derive(Clone, Debug)]
pub struct MembershipView {
    failure_ttl: Duration,
    revision: u64,
    members: BTreeMap<InstanceId, MemberEntry>,
    failures: BTreeMap<InstanceId, MonotonicTime>,
}

impl MembershipView {
    /// Creates an empty view.
    ///
    /// A failed call excludes an instance for `failure_ttl`, unless it responds sooner.
    #[must_use]
    pub const fn new(failure_ttl: Duration) -> Self {
        Self {
            failure_ttl,
            revision: 0,
            members: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }

    /// Applies a list of the platform, unless it is older than the current one.
    ///
    /// Returns whether the list was applied.
    pub fn on_list(
        &mut self,
        revision: u64,
        members: impl IntoIterator<Item = (InstanceId, MemberEntry)>,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        self.members = members.into_iter().collect();
        self.failures
            .retain(|instance, _| self.members.contains_key(instance));
        true
    }

    /// Records that an instance responded to a call.
    pub fn on_answer(&mut self, instance: &InstanceId) {
        self.failures.remove(instance);
    }

    /// Records that a call to an instance failed.
    pub fn on_failure(&mut self, instance: &InstanceId, now: MonotonicTime) {
        if self.members.contains_key(instance) {
            self.failures.insert(instance.clone(), now);
        }
    }

    /// Returns the list entry of an instance.
    #[must_use]
    pub fn get_member(&self, instance: &InstanceId) -> Option<&MemberEntry> {
        self.members.get(instance)
    }

    /// Returns the revision of the list.
    #[must_use]
    pub const fn get_revision(&self) -> u64 {
        self.revision
    }

    /// Returns the distinct zones of the list in sorted order.
    #[must_use]
    pub fn zones(&self) -> Vec<&ZoneId> {
        let mut zones: Vec<_> = self.members.values().map(|member| &member.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the usable instances of a zone, ordered by id.
    pub fn usable_in<'a>(
        &'a self,
        zone: &'a ZoneId,
        now: MonotonicTime,
    ) -> impl Iterator<Item = &'a InstanceId> {
        self.usable(now)
            .filter(move |(_, member)| member.zone == *zone)
            .map(|(instance, _)| instance)
    }

    /// Returns the usable instances: those that are listed as live and had no recent
    /// failure.
    pub fn usable(&self, now: MonotonicTime) -> impl Iterator<Item = (&InstanceId, &MemberEntry)> {
        self.members
            .iter()
            .filter(|(_, member)| member.state == InstanceState::Live)
            .filter(move |(instance, _)| !self.has_failed(instance, now))
    }

    fn has_failed(&self, instance: &InstanceId, now: MonotonicTime) -> bool {
        self.failures
            .get(instance)
            .is_some_and(|failed_at| now.saturating_since(*failed_at) < self.failure_ttl)
    }
}
