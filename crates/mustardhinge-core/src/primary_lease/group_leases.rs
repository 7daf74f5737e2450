use std::collections::HashMap;
use std::time::Duration;

use super::{ChangeCause, FailureDetector, GroupEpoch, LeaseGrant, PrimaryEvidence};
use crate::ids::{InstanceId, ServiceId, TargetId};
use crate::units::{LeaderTerm, LogPosition, MonotonicTime};

/// How long a leaving primary's successor may take to catch up.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);
/// An instance that asked within this time is expected to answer; twice the ask interval.
const REACHABLE_AGE: Duration = Duration::from_millis(1_200);

/// How far the change of a group's primary has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupPhase {
    /// The primary is lent out.
    Serving,
    /// The instances are told to stop using it.
    Stopping {
        /// Why it is replaced.
        cause: ChangeCause,
        /// When the stop began.
        since: MonotonicTime,
    },
    /// Nobody uses it any more; a successor is chosen, recorded and promoted.
    Replacing {
        /// Why it is replaced.
        cause: ChangeCause,
        /// When the last use ended.
        since: MonotonicTime,
    },
}

/// The holder's books on one group: who may use its primary until when, and whether it
/// is to be replaced.
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
}

impl GroupLeases {
    /// Opens the books for the primary of an epoch, which leads in `term` or a later one.
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
        }
    }

    /// Opens the books for a primary that was recorded but may not lead yet; nobody uses any
    /// primary of the group.
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

    /// Lends the primary to `instance` for `lease`, or tells it to stop.
    pub fn grant(
        &mut self,
        instance: &InstanceId,
        lease: Duration,
        now: MonotonicTime,
    ) -> LeaseGrant {
        self.renew(instance, lease, now);
        self.to_grant()
    }

    /// Returns what is said of the primary, without lending it.
    #[must_use]
    pub fn to_grant(&self) -> LeaseGrant {
        LeaseGrant {
            service: self.service.clone(),
            epoch: self.epoch,
            primary: self.primary.clone(),
            usable: self.phase == GroupPhase::Serving,
        }
    }

    /// Lends the primary again to an instance that knows it. Returns whether it may be used.
    pub fn renew(&mut self, instance: &InstanceId, lease: Duration, now: MonotonicTime) -> bool {
        let usable = self.phase == GroupPhase::Serving;
        set_time(&mut self.last_request_at, instance, now);
        if usable {
            set_time(&mut self.lease_expiry, instance, now + lease);
        }
        usable
    }

    /// Takes evidence on the primary of `epoch`.
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

    /// Takes a position that some instance saw.
    pub fn observe_position(&mut self, position: LogPosition) {
        self.highest_position = self.highest_position.max(position);
    }

    /// Takes the word of `instance` that it stopped using `epoch`.
    pub fn confirm_stopped(&mut self, instance: &InstanceId, epoch: GroupEpoch) {
        if epoch == self.epoch && self.phase != GroupPhase::Serving {
            self.lease_expiry.remove(instance);
        }
    }

    /// Begins to replace the primary.
    pub fn begin_stop(&mut self, cause: ChangeCause, now: MonotonicTime) {
        if self.phase == GroupPhase::Serving {
            self.phase = GroupPhase::Stopping { cause, since: now };
        }
    }

    /// Returns whether the instances' evidence says that the primary failed.
    #[must_use]
    pub fn is_failed(&self, now: MonotonicTime) -> bool {
        self.phase == GroupPhase::Serving && self.detector.is_failed(now)
    }

    /// Goes on to replacing once nobody can use the primary any more.
    ///
    /// Returns whether it went on just now.
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

    /// Returns whether a candidate that holds `received` may take over now.
    ///
    /// The successor of a leaving primary is given time to receive all that was seen.
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

    /// Begins the next epoch, with its primary and the term in which that leads.
    pub fn begin_epoch(&mut self, epoch: GroupEpoch, primary: TargetId, term: LeaderTerm) {
        self.term = self.term.max(term);
        self.epoch = epoch;
        self.primary = primary;
        self.phase = GroupPhase::Serving;
        self.lease_expiry.clear();
        self.detector.clear();
    }

    /// Returns the instances with a lease that have been heard lately and have not said
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

    /// Returns the term that the primary leads in; it may lead in a later one.
    #[must_use]
    pub const fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Returns how far a change has come.
    #[must_use]
    pub const fn phase(&self) -> GroupPhase {
        self.phase
    }
}

/// Sets an instance's time; nearly always it has one.
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
