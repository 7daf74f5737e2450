use std::collections::HashMap;
use std::time::Duration;

use super::{
    ChangeCause, ConfirmingReplicas, EpochMembers, FailureDetector, GroupEpoch, LeaseGrant,
    PrimaryEvidence, ServerStatus, SuccessorSearch,
};
use crate::ids::{InstanceId, ServiceId, TargetId};
use crate::units::{LeaderTerm, LogPosition, MonotonicTime};

/// Maximum time for the successor of a leaving primary to catch up.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);
/// An instance that sent a request within this time is expected to respond; a little more than
/// two request intervals.
const REACHABLE_AGE: Duration = Duration::from_millis(1_200);

/// The progress of replacing a group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupPhase {
    /// Leases on the primary are granted.
    Serving,
    /// The instances are notified to stop using the primary.
    Stopping {
        /// Why the primary is replaced.
        cause: ChangeCause,
        /// When this phase began.
        since: MonotonicTime,
    },
    /// No instance uses the primary; a successor is chosen, recorded and promoted.
    Replacing {
        /// Why the primary is replaced.
        cause: ChangeCause,
        /// When this phase began.
        since: MonotonicTime,
    },
}

/// The leader's state for one group: the leases granted on its primary and the progress of its
/// replacement.
#[derive(Clone, Debug)]
pub struct GroupLeases {
    service: ServiceId,
    epoch: GroupEpoch,
    primary: TargetId,
    term: LeaderTerm,
    phase: GroupPhase,
    lease_expiry: HashMap<InstanceId, MonotonicTime>,
    last_request_at: HashMap<InstanceId, MonotonicTime>,
    highest_position: LogPosition,
    detector: FailureDetector,
    search: SuccessorSearch,
    members: EpochMembers,
    /// Whether an instance has stopped using the epoch that is served.
    is_abandoned: bool,
}

impl GroupLeases {
    /// Creates the state for the primary of an epoch, which is primary in `term` or a later one.
    #[must_use]
    pub fn new(service: ServiceId, epoch: GroupEpoch, primary: TargetId, term: LeaderTerm) -> Self {
        Self {
            service,
            epoch,
            primary,
            term,
            phase: GroupPhase::Serving,
            lease_expiry: HashMap::new(),
            last_request_at: HashMap::new(),
            highest_position: LogPosition::default(),
            detector: FailureDetector::default(),
            search: SuccessorSearch::default(),
            members: EpochMembers::default(),
            is_abandoned: false,
        }
    }

    /// Creates the state for a recorded primary that may not have been promoted yet.
    ///
    /// No instance uses a primary of the group.
    #[must_use]
    pub fn unconfirmed(
        service: ServiceId,
        epoch: GroupEpoch,
        primary: TargetId,
        term: LeaderTerm,
        now: MonotonicTime,
    ) -> Self {
        let cause = ChangeCause::Displaced;
        Self {
            phase: GroupPhase::Replacing { cause, since: now },
            ..Self::new(service, epoch, primary, term)
        }
    }

    /// Sets the primary that the recorded one replaces, if it is known, and the recorded members of its
    /// epoch.
    #[must_use]
    pub fn replacing(
        mut self,
        primary: Option<TargetId>,
        members: impl IntoIterator<Item = TargetId>,
    ) -> Self {
        self.search = SuccessorSearch::new(primary).with_members(members);
        self
    }

    /// Sets the recorded members of the epoch.
    #[must_use]
    pub fn with_members(mut self, members: impl IntoIterator<Item = TargetId>) -> Self {
        self.set_members(members);
        self
    }

    /// Replaces the members of the epoch by those that are recorded.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = TargetId>) {
        self.members = EpochMembers::new(members);
    }

    /// Returns the replicas that may have confirmed commits of the epoch.
    #[must_use]
    pub const fn members(&self) -> &EpochMembers {
        &self.members
    }

    /// Records the servers that are listed at `now`. Returns the members that have left the list.
    pub fn record_listed(&mut self, servers: &[TargetId], now: MonotonicTime) -> Vec<TargetId> {
        if self.phase != GroupPhase::Serving {
            return Vec::new();
        }
        self.members.record_listed(servers, &self.primary, now)
    }

    /// Records the status of servers that were asked at `asked_at` because a member is no longer
    /// listed. Returns the departed members that are not needed any more.
    pub fn record_member_statuses(
        &mut self,
        epoch: GroupEpoch,
        statuses: &[ServerStatus],
        confirming: ConfirmingReplicas,
        asked_at: MonotonicTime,
    ) -> Vec<TargetId> {
        if self.phase != GroupPhase::Serving || epoch != self.epoch {
            return Vec::new();
        }
        // Another server that believes to be primary doesn't report the positions of this epoch.
        let is_known = |status: &&ServerStatus| {
            !status.is_primary || status.target == self.primary && status.term >= self.term
        };
        let statuses: Vec<_> = statuses.iter().filter(is_known).cloned().collect();
        let observed = self.highest_position;
        self.members
            .record_statuses(&statuses, observed, confirming, asked_at)
    }

    /// Keeps the leases that this instance granted on the same epoch in an earlier leadership.
    ///
    /// The election doesn't cover them: a claimant relies on its own earlier rights to have ended.
    pub fn keep_leases(&mut self, earlier: &Self) {
        if earlier.epoch != self.epoch {
            return;
        }
        for (instance, expiry) in &earlier.lease_expiry {
            let known = self.lease_expiry.entry(instance.clone()).or_insert(*expiry);
            *known = (*known).max(*expiry);
        }
        if let GroupPhase::Replacing { cause, since } = self.phase
            && !self.lease_expiry.is_empty()
        {
            self.phase = GroupPhase::Stopping { cause, since };
        }
    }

    /// Grants `instance` a lease of the given duration, or a grant that is not usable if the
    /// primary is being replaced.
    pub fn grant(
        &mut self,
        instance: &InstanceId,
        lease: Duration,
        now: MonotonicTime,
    ) -> LeaseGrant {
        self.renew(instance, lease, now);
        self.to_grant()
    }

    /// Returns the grant for the current state without recording a lease.
    #[must_use]
    pub fn to_grant(&self) -> LeaseGrant {
        LeaseGrant {
            service: self.service.clone(),
            epoch: self.epoch,
            primary: self.primary.clone(),
            usable: self.phase == GroupPhase::Serving,
            term: self.term,
        }
    }

    /// Renews the lease of an instance. Returns whether the primary may be used.
    pub fn renew(&mut self, instance: &InstanceId, lease: Duration, now: MonotonicTime) -> bool {
        let usable = self.phase == GroupPhase::Serving;
        set_time(&mut self.last_request_at, instance, now);
        if usable {
            set_time(&mut self.lease_expiry, instance, now + lease);
        }
        usable
    }

    /// Records an instance's evidence on the primary of `epoch`.
    pub fn report(
        &mut self,
        instance: &InstanceId,
        epoch: GroupEpoch,
        evidence: PrimaryEvidence,
        now: MonotonicTime,
    ) {
        if epoch == self.epoch {
            self.detector.report(instance.clone(), evidence, now);
        }
    }

    /// Records a log position that an instance observed.
    pub fn observe_position(&mut self, position: LogPosition) {
        self.highest_position = self.highest_position.max(position);
    }

    /// Records that `instance` stopped using the primary of `epoch`.
    ///
    /// If the group serves, the leader before told the instance to stop, and the epoch is never used there
    /// again.
    pub fn confirm_stopped(&mut self, instance: &InstanceId, epoch: GroupEpoch) {
        if epoch != self.epoch {
            return;
        }
        if self.phase == GroupPhase::Serving {
            // The report may come from a process before the one that holds a lease now.
            self.is_abandoned = true;
        } else {
            self.lease_expiry.remove(instance);
        }
    }

    /// Returns whether a new epoch is needed although the primary may be kept, because an instance has
    /// stopped using the one that is served.
    ///
    /// Failure: a leader told the instances to stop using an epoch and was lost. Its successor granted the
    /// recorded epoch again, which no instance used any more, so the service was refused for good.
    #[must_use]
    pub const fn is_abandoned(&self) -> bool {
        self.is_abandoned
    }

    /// Starts replacing the primary.
    pub fn begin_stop(&mut self, cause: ChangeCause, now: MonotonicTime) {
        if self.phase == GroupPhase::Serving {
            self.phase = GroupPhase::Stopping { cause, since: now };
            let members = self.members.iter().cloned();
            self.search = SuccessorSearch::new(Some(self.primary.clone())).with_members(members);
        }
    }

    /// Returns the search for the primary's successor.
    #[must_use]
    pub const fn search(&self) -> &SuccessorSearch {
        &self.search
    }

    /// Records the status of servers that were asked while the primary was not used any more.
    pub fn record_statuses(
        &mut self,
        listed: impl IntoIterator<Item = TargetId>,
        responded: &[ServerStatus],
    ) {
        if matches!(self.phase, GroupPhase::Replacing { .. }) {
            self.search.record(listed, responded);
        }
    }

    /// Returns whether the primary has failed according to the instances' evidence.
    #[must_use]
    pub fn is_failed(&self, now: MonotonicTime) -> bool {
        self.phase == GroupPhase::Serving && self.detector.is_failed(now)
    }

    /// Enters [`GroupPhase::Replacing`] once no instance holds a lease.
    ///
    /// Returns whether the phase changed.
    pub fn advance(&mut self, now: MonotonicTime) -> bool {
        let GroupPhase::Stopping { cause, .. } = self.phase else {
            return false;
        };
        if self.lease_expiry.values().any(|expiry| now < *expiry) {
            return false;
        }
        self.phase = GroupPhase::Replacing { cause, since: now };
        true
    }

    /// Returns whether a candidate that has received the log up to `received` may take over now.
    ///
    /// The successor of a leaving primary gets time to receive every observed position.
    #[must_use]
    pub fn may_take_over(&self, received: LogPosition, now: MonotonicTime) -> bool {
        match self.phase {
            GroupPhase::Replacing { cause, since } => {
                cause != ChangeCause::Leaving
                    || received >= self.highest_position
                    || now.saturating_since(since) >= CATCH_UP_TIMEOUT
            }
            _ => false,
        }
    }

    /// Begins the next epoch, with its primary and that primary's term.
    pub fn begin_epoch(&mut self, epoch: GroupEpoch, primary: TargetId, term: LeaderTerm) {
        self.term = self.term.max(term);
        self.epoch = epoch;
        self.primary = primary;
        self.phase = GroupPhase::Serving;
        self.lease_expiry.clear();
        // Positions of the previous epoch may have been rolled back.
        self.highest_position = LogPosition::default();
        self.detector.clear();
        self.search = SuccessorSearch::default();
        self.members = EpochMembers::default();
        self.is_abandoned = false;
    }

    /// Returns the instances that hold a lease, sent a request recently and have not confirmed
    /// that they stopped.
    #[must_use]
    pub fn pending_instances(&self, now: MonotonicTime) -> Vec<InstanceId> {
        let is_reachable = |id: &InstanceId| {
            let at = self.last_request_at.get(id);
            at.is_some_and(|at| now.saturating_since(*at) < REACHABLE_AGE)
        };
        let unexpired = self
            .lease_expiry
            .iter()
            .filter(|(_, expiry)| now < **expiry);
        unexpired
            .map(|(id, _)| id)
            .filter(|id| is_reachable(id))
            .cloned()
            .collect()
    }

    /// Returns the service of the group.
    #[must_use]
    pub const fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Returns the epoch.
    #[must_use]
    pub const fn epoch(&self) -> GroupEpoch {
        self.epoch
    }

    /// Returns the primary of the epoch.
    #[must_use]
    pub const fn primary(&self) -> &TargetId {
        &self.primary
    }

    /// Returns the known term of the primary; its actual term may be later.
    #[must_use]
    pub const fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Returns the phase.
    #[must_use]
    pub const fn phase(&self) -> GroupPhase {
        self.phase
    }
}

/// Sets the time of an instance. Updating in place avoids cloning the id, since nearly every
/// instance already has an entry.
fn set_time(
    times: &mut HashMap<InstanceId, MonotonicTime>,
    instance: &InstanceId,
    time: MonotonicTime,
) {
    match times.get_mut(instance) {
        Some(known) => *known = time,
        None => {
            times.insert(instance.clone(), time);
        }
    }
}
