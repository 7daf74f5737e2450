use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::{EpochDigest, GroupEpoch, LeaseGrant};
use crate::ids::{ServiceId, TargetId};
use crate::units::{LeaderTerm, MonotonicTime};

/// Number of groups from which on a request has parts for those without an epoch. Most leaders send
/// fewer groups in one response, and the parts would only make the first requests longer.
const MIN_SIZED_GROUPS: usize = 64;

#[derive(Clone, Debug)]
struct HeldLease {
    epoch: GroupEpoch,
    primary: TargetId,
    term: LeaderTerm,
    valid_until: MonotonicTime,
    closing_since: Option<MonotonicTime>,
    stopped: bool,
}

/// The state of a group's latest epoch on one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EpochState<'a> {
    /// The epoch.
    pub epoch: GroupEpoch,
    /// Its primary.
    pub primary: &'a TargetId,
    /// When the instance's lease on the primary ends, or ended.
    pub valid_until: MonotonicTime,
    /// When new work was stopped, if it was.
    pub closing_since: Option<MonotonicTime>,
    /// Whether the epoch is stopped, so that results of work in it are no longer valid.
    pub is_stopped: bool,
}

/// The leases that one instance holds: which primary it may use for each group, and until when.
///
/// A stopped epoch is never used again, whichever leader grants a lease on it.
#[derive(Clone, Debug, Default)]
pub struct HeldLeases {
    groups: HashMap<ServiceId, HeldLease>,
}

impl HeldLeases {
    /// Applies a grant received in response to a request sent at `requested_at`.
    ///
    /// Returns whether the group's epoch is new on this instance.
    pub fn accept(
        &mut self,
        grant: &LeaseGrant,
        requested_at: MonotonicTime,
        lease: Duration,
        now: MonotonicTime,
    ) -> bool {
        let known = self.groups.get(&grant.service).map(|held| held.epoch);
        if known.is_some_and(|epoch| epoch > grant.epoch) {
            return false;
        }
        let is_new = known != Some(grant.epoch);
        if is_new {
            self.groups.insert(
                grant.service.clone(),
                HeldLease {
                    epoch: grant.epoch,
                    primary: grant.primary.clone(),
                    term: grant.term,
                    valid_until: MonotonicTime::default(),
                    closing_since: None,
                    stopped: false,
                },
            );
        }
        if let Some(held) = self.groups.get_mut(&grant.service) {
            if !grant.usable {
                held.closing_since = held.closing_since.or(Some(now));
            } else if held.closing_since.is_none() && !held.stopped {
                held.valid_until = held.valid_until.max(requested_at + lease);
            }
        }
        is_new
    }

    /// Stops new work in `epoch` and earlier epochs; running work may still finish.
    pub fn close(&mut self, service: &ServiceId, epoch: GroupEpoch, now: MonotonicTime) {
        if let Some(held) = self.groups.get_mut(service)
            && held.epoch <= epoch
        {
            held.closing_since = held.closing_since.or(Some(now));
        }
    }

    /// Stops `epoch` and earlier epochs; results of work in them are no longer valid.
    pub fn stop(&mut self, service: &ServiceId, epoch: GroupEpoch) {
        if let Some(held) = self.groups.get_mut(service)
            && held.epoch <= epoch
        {
            held.stopped = true;
        }
    }

    /// Returns the primary that may be used now, and its epoch.
    #[must_use]
    pub fn usable(
        &self,
        service: &ServiceId,
        now: MonotonicTime,
    ) -> Option<(GroupEpoch, &TargetId)> {
        let held = self.groups.get(service)?;
        let usable = held.closing_since.is_none() && !held.stopped && now < held.valid_until;
        usable.then_some((held.epoch, &held.primary))
    }

    /// Returns whether results of work in `epoch` are valid: the lease has not expired and the
    /// epoch is not stopped.
    #[must_use]
    pub fn is_valid(&self, service: &ServiceId, epoch: GroupEpoch, now: MonotonicTime) -> bool {
        let held = self.groups.get(service);
        held.is_some_and(|held| held.epoch == epoch && !held.stopped && now < held.valid_until)
    }

    /// Returns the state of a group's latest epoch.
    #[must_use]
    pub fn newest(&self, service: &ServiceId) -> Option<EpochState<'_>> {
        let held = self.groups.get(service)?;
        Some(EpochState {
            epoch: held.epoch,
            primary: &held.primary,
            valid_until: held.valid_until,
            closing_since: held.closing_since,
            is_stopped: held.stopped,
        })
    }

    /// Returns the latest epoch of each group for a leader that may not know it.
    #[must_use]
    pub fn known_epochs(&self) -> Vec<LeaseGrant> {
        let groups = self.groups.iter();
        let known = groups.map(|(service, held)| LeaseGrant {
            service: service.clone(),
            epoch: held.epoch,
            primary: held.primary.clone(),
            usable: held.closing_since.is_none() && !held.stopped,
            term: held.term,
        });
        known.collect()
    }

    /// Returns a digest of the epochs known to this instance.
    #[must_use]
    pub fn digest(&self) -> EpochDigest {
        self.add_to(EpochDigest::for_groups(self.groups.len()))
    }

    /// Returns a digest of the epochs known to this instance, which is configured with `groups`
    /// groups.
    ///
    /// If these are many, the digest has parts for those without an epoch too, so that each of
    /// several responses completes some parts.
    #[must_use]
    pub fn request_digest(&self, groups: usize) -> EpochDigest {
        if groups < MIN_SIZED_GROUPS {
            return self.digest();
        }
        self.add_to(EpochDigest::for_groups(groups.max(self.groups.len())))
    }

    fn add_to(&self, mut digest: EpochDigest) -> EpochDigest {
        for (service, held) in &self.groups {
            digest.add(service, held.epoch, &held.primary);
        }
        digest
    }

    /// Renews the leases of all groups whose digest part equals that of `granted`, except the
    /// groups in `excluded`, in response to a request sent at `requested_at`.
    ///
    /// Returns the services of the renewed groups.
    pub fn renew(
        &mut self,
        granted: &EpochDigest,
        excluded: &HashSet<&ServiceId>,
        requested_at: MonotonicTime,
        lease: Duration,
    ) -> Vec<ServiceId> {
        let known = self.add_to(EpochDigest::empty_like(granted));
        let mut renewed = Vec::new();
        for (service, held) in &mut self.groups {
            if !known.matches_part(granted, service) || excluded.contains(service) {
                continue;
            }
            if held.closing_since.is_none() && !held.stopped {
                held.valid_until = held.valid_until.max(requested_at + lease);
            }
            renewed.push(service.clone());
        }
        renewed
    }

    /// Returns whether any lease is valid now.
    #[must_use]
    pub fn has_any(&self, now: MonotonicTime) -> bool {
        self.groups
            .values()
            .any(|held| !held.stopped && now < held.valid_until)
    }
}
