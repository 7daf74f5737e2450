use std::time::Duration;

use super::observed_lease::ObservedLease;
use super::{HolderId, LeaseRecord, LeaseTerms, LeaseValidity};
use crate::units::{DocumentVersion, MonotonicTime};

/// A conditional update of the lease record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The expected version of the stored record; 0 if none may exist.
    pub expected: DocumentVersion,
    /// The record to write.
    pub record: LeaseRecord,
}

/// A write in flight whose outcome is unknown.
#[derive(Clone, Debug)]
struct PendingWrite {
    write: LeaseWrite,
    sent_at: MonotonicTime,
}

/// The agent's own lease.
#[derive(Clone, Copy, Debug)]
struct OwnLease {
    epoch: u64,
    has_floor: bool,
    /// When the last successful renewal was sent.
    renewed_at: MonotonicTime,
}

/// Acquires, renews and releases the lease of a zone's share for one agent.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    holder: HolderId,
    terms: LeaseTerms,
    observed: Option<ObservedLease>,
    pending: Option<PendingWrite>,
    own: Option<OwnLease>,
    lost_epoch: Option<u64>,
    is_leaving: bool,
}

impl LeaseManager {
    /// The additional wait per rank before an agent takes a share over.
    const RANK_DELAY: Duration = Duration::from_millis(500);

    /// Creates the manager of a started agent that holds no lease.
    #[must_use]
    pub const fn new(holder: HolderId, terms: LeaseTerms) -> Self {
        Self {
            holder,
            terms,
            observed: None,
            pending: None,
            own: None,
            lost_epoch: None,
            is_leaving: false,
        }
    }

    /// Releases the share as soon as no grants are outstanding.
    pub const fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether the agent is releasing the share.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the validity of the agent's lease, or `None` if it holds no valid lease or
    /// is releasing it.
    #[must_use]
    pub fn validity(&self, now: MonotonicTime) -> Option<LeaseValidity> {
        let own = self.own.filter(|_| !self.is_leaving)?;
        let flexible_until = own.renewed_at + self.terms.flexible_validity();
        let floor_end = own.renewed_at + self.terms.floor_validity();
        let floor_until = own.has_floor.then_some(floor_end);
        let end = floor_until.max(Some(flexible_until))?;
        (now < end).then_some(LeaseValidity {
            epoch: own.epoch,
            flexible_until,
            floor_until,
        })
    }

    /// Handles the stored record, received by a read, a watch or a write conflict.
    pub fn on_record(
        &mut self,
        version: DocumentVersion,
        record: &LeaseRecord,
        now: MonotonicTime,
    ) {
        let next = match &self.observed {
            Some(known) if known.version >= version => return,
            Some(known) => known.updated(version, record.clone(), now),
            None => ObservedLease::new(version, record.clone(), now),
        };
        self.resolve_pending(version, record);
        self.update_own_lease(record);
        self.observed = Some(next);
    }

    /// Handles the store's confirmation of the write in flight.
    pub fn on_accepted(&mut self, version: DocumentVersion, now: MonotonicTime) {
        if let Some(pending) = &self.pending {
            let record = pending.write.record.clone();
            self.on_record(version, &record, now);
        }
    }

    /// Returns the write to send now, if any.
    ///
    /// `rank` is the position of this agent among the candidates of its zone; it only
    /// decides which one tries first. `is_idle` is true if this agent has no outstanding
    /// grants.
    pub fn step(&mut self, rank: u32, is_idle: bool, now: MonotonicTime) -> Option<LeaseWrite> {
        if let Some(pending) = &self.pending {
            return Some(pending.write.clone());
        }
        let write = self.choose_write(rank, is_idle, now)?;
        self.pending = Some(PendingWrite {
            write: write.clone(),
            sent_at: now,
        });
        Some(write)
    }

    /// Returns the newest record received.
    #[must_use]
    pub fn get_record(&self) -> Option<&LeaseRecord> {
        self.observed.as_ref().map(|observed| &observed.record)
    }

    fn choose_write(&self, rank: u32, is_idle: bool, now: MonotonicTime) -> Option<LeaseWrite> {
        let Some(observed) = &self.observed else {
            return self.initial_write();
        };
        let record = &observed.record;
        let is_holder = record.holder.as_ref() == Some(&self.holder);
        let next = if is_holder {
            self.holder_record(observed, is_idle, now)?
        } else if self.may_release_floor(record, is_idle) {
            record.next(&self.holder).with_floor()
        } else {
            self.takeover_record(observed, rank, now)?
        };
        Some(LeaseWrite {
            expected: observed.version,
            record: next,
        })
    }

    /// Returns whether another agent has taken over the flexible part while this agent
    /// still owns the floor and has no outstanding grants.
    fn may_release_floor(&self, record: &LeaseRecord, is_idle: bool) -> bool {
        let is_owner = self.lost_epoch == Some(record.floor_epoch);
        is_idle && is_owner && !record.has_floor()
    }

    fn initial_write(&self) -> Option<LeaseWrite> {
        (!self.is_leaving).then(|| LeaseWrite {
            expected: DocumentVersion::default(),
            record: LeaseRecord::first(self.holder.clone(), self.terms),
        })
    }

    fn holder_record(
        &self,
        observed: &ObservedLease,
        is_idle: bool,
        now: MonotonicTime,
    ) -> Option<LeaseRecord> {
        let record = &observed.record;
        if self.is_leaving && is_idle {
            return Some(record.next(&self.holder).released());
        }
        if !record.has_floor() && observed.is_floor_free(now) {
            return Some(record.next(&self.holder).with_floor());
        }
        let own = self.own?;
        let is_due = now.saturating_since(own.renewed_at) >= self.terms.renewal_period();
        is_due.then(|| record.next(&self.holder))
    }

    fn takeover_record(
        &self,
        observed: &ObservedLease,
        rank: u32,
        now: MonotonicTime,
    ) -> Option<LeaseRecord> {
        let free_for = observed.flexible_free_for(now)?;
        if self.is_leaving || free_for < Self::RANK_DELAY * rank {
            return None;
        }
        let next = observed.record.next(&self.holder);
        let next = next.with_holder(self.holder.clone(), self.terms);
        Some(if observed.is_floor_free(now) {
            next.with_floor()
        } else {
            next
        })
    }

    /// Resolves the write in flight once a record newer than its expected version is
    /// received: either the record is the written one, or the write can no longer take
    /// effect.
    fn resolve_pending(&mut self, version: DocumentVersion, record: &LeaseRecord) {
        let newer = |pending: &mut PendingWrite| version > pending.write.expected;
        let Some(pending) = self.pending.take_if(newer) else {
            return;
        };
        let sent = &pending.write.record;
        let is_new_epoch = self.own.is_none_or(|own| own.epoch != sent.epoch);
        let is_own_epoch = record.epoch == sent.epoch && record.holder == sent.holder;
        let took_effect = sent == record || (is_new_epoch && is_own_epoch);
        if took_effect && record.holder.as_ref() == Some(&self.holder) {
            self.own = Some(OwnLease {
                epoch: record.epoch,
                has_floor: record.has_floor(),
                renewed_at: pending.sent_at,
            });
        }
    }

    /// Drops the own lease if the record names another holder or epoch, and otherwise
    /// updates whether the lease includes the floor.
    fn update_own_lease(&mut self, record: &LeaseRecord) {
        let Some(own) = &mut self.own else {
            return;
        };
        let is_holder = record.holder.as_ref() == Some(&self.holder);
        if is_holder && record.epoch == own.epoch {
            own.has_floor = record.has_floor();
            return;
        }
        self.lost_epoch = own.has_floor.then_some(own.epoch);
        self.own = None;
    }
}
