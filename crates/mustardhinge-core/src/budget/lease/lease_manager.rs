use std::time::Duration;

use super::observed_lease::ObservedLease;
use super::{HolderId, LeaseRecord, LeaseTerms, LeaseValidity};
use crate::units::{DocumentVersion, MonotonicTime};

/// A conditional update of the lease record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The version that must be in force; 0 if there must be none.
    pub expected: DocumentVersion,
    /// The record to write.
    pub record: LeaseRecord,
}

/// A write that was sent and is not settled.
#[derive(Clone, Debug)]
struct PendingWrite {
    write: LeaseWrite,
    sent_at: MonotonicTime,
}

/// What a holder knows of its own lease.
#[derive(Clone, Copy, Debug)]
struct OwnLease {
    epoch: u64,
    has_floor: bool,
    /// When the last renewal that took effect was sent.
    renewed_at: MonotonicTime,
}

/// One agent's part in the lease of its zone's share: takes it, renews it, loses
/// it, gives it back.
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
    /// Agents that are worse choices wait this much longer each before they take
    /// a share over.
    const RANK_DELAY: Duration = Duration::from_millis(500);

    /// Makes the keeper of an agent that has just started and holds nothing.
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

    /// Asks that the share is given back as soon as nothing is lent out.
    pub const fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether the agent has asked to give the share back.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns what the agent may use now; none while it gives the share back.
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

    /// Takes the record as read from the store, from a watch or from a conflict.
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

    /// Takes the store's answer that the write in flight took effect.
    pub fn on_accepted(&mut self, version: DocumentVersion, now: MonotonicTime) {
        if let Some(pending) = &self.pending {
            let record = pending.write.record.clone();
            self.on_record(version, &record, now);
        }
    }

    /// Returns the write to send now, if any.
    ///
    /// `rank` is this agent's place among those of its zone that might hold the
    /// share; it only decides who tries first. `is_idle` says that nothing of the
    /// share is lent out by this agent.
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

    /// Returns the newest record seen.
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

    /// Returns whether another agent took the flexible part over, while the floor
    /// is still this agent's and unused.
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

    /// Settles the write in flight by a record that is newer than it expected:
    /// either it is what stands, or it can't take effect any more.
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

    /// Drops the own lease if the record names another holder or epoch, and takes
    /// the floor if it was given to the own epoch.
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
