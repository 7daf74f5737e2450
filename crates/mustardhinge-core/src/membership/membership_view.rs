use std::collections::BTreeMap;
use std::time::Duration;

use super::InstanceState;
use crate::ids::{InstanceId, ZoneId};
use crate::units::MonotonicTime;

/// One instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// The availability zone it stands in.
    pub zone: ZoneId,
    /// What the list says of it.
    pub state: InstanceState,
}

/// The platform's lagging list, corrected by what was seen of the instances.
///
/// A hint: it says whom to ask first, never who may do something.
#[derive(Clone, Debug)]
pub struct MembershipView {
    failure_ttl: Duration,
    revision: u64,
    members: BTreeMap<InstanceId, MemberEntry>,
    failures: BTreeMap<InstanceId, MonotonicTime>,
}

impl MembershipView {
    /// Makes an empty view; a failed call counts against an instance for
    /// `failure_ttl`, unless it answers sooner.
    #[must_use]
    pub const fn new(failure_ttl: Duration) -> Self {
        Self {
            failure_ttl,
            revision: 0,
            members: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }

    /// Takes a list of the platform; an older one than the last is ignored.
    ///
    /// Returns whether the list was taken.
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

    /// Takes note that an instance answered a call.
    pub fn on_answer(&mut self, instance: &InstanceId) {
        self.failures.remove(instance);
    }

    /// Takes note that a call to an instance failed.
    pub fn on_failure(&mut self, instance: &InstanceId, now: MonotonicTime) {
        if self.members.contains_key(instance) {
            self.failures.insert(instance.clone(), now);
        }
    }

    /// Returns what the list says of an instance.
    #[must_use]
    pub fn get_member(&self, instance: &InstanceId) -> Option<&MemberEntry> {
        self.members.get(instance)
    }

    /// Returns the revision of the list.
    #[must_use]
    pub const fn get_revision(&self) -> u64 {
        self.revision
    }

    /// Returns the zones that the list names, each once.
    #[must_use]
    pub fn zones(&self) -> Vec<&ZoneId> {
        let mut zones: Vec<_> = self.members.values().map(|member| &member.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the instances of a zone that are worth asking, in order of names.
    pub fn usable_in<'a>(
        &'a self,
        zone: &'a ZoneId,
        now: MonotonicTime,
    ) -> impl Iterator<Item = &'a InstanceId> {
        self.usable(now)
            .filter(move |(_, member)| member.zone == *zone)
            .map(|(instance, _)| instance)
    }

    /// Returns the instances that are worth asking: live by the list, and without
    /// a recent failure.
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
