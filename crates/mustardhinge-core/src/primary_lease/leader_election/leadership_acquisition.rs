//! What an instance holds once its record is in the store, and from when it may replace a primary.

use std::collections::BTreeSet;

use super::{CLOCK_MARGIN, LeaderElection};
use crate::primary_lease::held_leadership::HeldLeadership;
use crate::primary_lease::{LeaderRecord, ObservedRecord, RecordRevision, StoreEra};
use crate::units::MonotonicTime;

impl LeaderElection {
    pub(super) fn acquire(
        &mut self,
        revision: RecordRevision,
        record: LeaderRecord,
        sent_at: MonotonicTime,
    ) {
        self.highest_fence = self.highest_fence.max(record.fence);
        if self.is_retired {
            return;
        }
        let is_kept = self.is_unbroken || self.may_grant(sent_at);
        let kept_term = self.held_term().filter(|_| is_kept);
        let mut held = self.held.take();
        if let Some(mut held) = held.take_if(|held| held.record.fence == record.fence) {
            self.voter_acks.confirm(&record);
            held.record = record;
            held.revision = revision;
            held.renewed_at = sent_at;
            self.held = Some(held);
            return;
        }
        self.voter_acks.reset(record.fence);
        self.voter_acks.confirm(&record);
        let is_unbroken = std::mem::take(&mut self.is_unbroken);
        let is_unreadable = self.unreadable.take().is_some();
        let is_known = held.is_some() && !is_unreadable;
        let known_since = self.stored_since().filter(|_| is_known);
        let has_no_record = || {
            let observed = self.observed.as_ref();
            observed.is_none_or(ObservedRecord::is_from_copy)
        };
        let is_lost = is_unreadable || revision.era() > StoreEra::default() && has_no_record();
        let kept_term = kept_term.filter(|_| is_lost);
        let began = match held.filter(|_| is_lost && is_unbroken) {
            Some(held) => HeldLeadership {
                record,
                revision,
                renewed_at: sent_at,
                ..held
            },
            None if is_lost => {
                let lost_at = known_since.map_or(sent_at, |since| since.min(sent_at));
                self.held_after_loss(revision, record, (lost_at, sent_at))
            }
            None => self.held_after_claim(revision, record, sent_at),
        };
        self.last_term = kept_term.unwrap_or_else(|| self.last_term.next());
        self.held = Some(HeldLeadership {
            term: self.last_term,
            ..began
        });
        let own = (self.own.holder.clone(), self.own.incarnation);
        self.voter_moved((&own.0, own.1), sent_at);
    }

    fn held_after_claim(
        &self,
        revision: RecordRevision,
        record: LeaderRecord,
        sent_at: MonotonicTime,
    ) -> HeldLeadership {
        let bound = self.settings.renew_deadline + self.settings.lease;
        let promote_from = match &self.observed {
            None if record.settled => sent_at,
            // The store lost the record of a leader that was known here.
            None => sent_at + bound,
            Some(observed) => self.promote_from(observed, sent_at),
        };
        let predecessor = self.observed.as_ref().map(|observed| &observed.record);
        HeldLeadership {
            term: self.last_term,
            record,
            revision,
            renewed_at: sent_at,
            promote_from,
            earlier_until: self.earlier_expiry(),
            unfollowed_until: self.unfollowed_expiry(),
            predecessor_voters: predecessor.map_or_else(Vec::new, |record| record.voters.clone()),
            moved: BTreeSet::new(),
        }
    }

    /// Returns since when this instance has known what its claim replaces. No other leader has
    /// renewed its record since.
    fn stored_since(&self) -> Option<MonotonicTime> {
        let observed = self.observed.as_ref();
        observed.map_or(self.absent_since, |observed| Some(observed.first_seen))
    }

    /// Returns the leadership after the record was lost. The last leader is unknown, so neither
    /// voters nor a stopped predecessor shorten the wait.
    fn held_after_loss(
        &self,
        revision: RecordRevision,
        record: LeaderRecord,
        (lost_at, sent_at): (MonotonicTime, MonotonicTime),
    ) -> HeldLeadership {
        HeldLeadership {
            term: self.last_term,
            record,
            revision,
            renewed_at: sent_at,
            promote_from: lost_at + self.settings.renew_deadline + self.settings.lease,
            earlier_until: None,
            unfollowed_until: None,
            predecessor_voters: Vec::new(),
            moved: BTreeSet::new(),
        }
    }

    /// Returns when the rights of the leaders before the one that a claim replaces have expired, if it is
    /// known. That one recorded it, whether it goes on or not.
    ///
    /// Failure: two leaders were lost in turn. The third one waited for the first one as long as for a
    /// leader of which nothing is known, and used a leaving primary meanwhile.
    fn earlier_expiry(&self) -> Option<MonotonicTime> {
        match &self.observed {
            Some(observed) if !observed.record.settled => {
                let settles_in = observed.record.settles_in?;
                Some(observed.first_seen + settles_in + CLOCK_MARGIN)
            }
            _ => Some(MonotonicTime::default()),
        }
    }

    /// Returns when the rights of the leaders have expired that the voters of the replaced record did not
    /// follow, if it is known.
    ///
    /// A leader that was lost before its first renewal had the voters of the one before it.
    pub(super) fn unfollowed_expiry(&self) -> Option<MonotonicTime> {
        let observed = self.observed.as_ref();
        let claim = observed.and_then(|observed| {
            let settle_in = observed.record.earlier_settle_in?;
            Some(observed.first_seen + settle_in + CLOCK_MARGIN)
        });
        claim.or_else(|| self.earlier_expiry())
    }

    /// Returns when the rights of all earlier leaders have expired after a claim that replaces
    /// `observed`.
    pub(super) fn promote_from(
        &self,
        observed: &ObservedRecord,
        claimed_at: MonotonicTime,
    ) -> MonotonicTime {
        self.predecessor_expiry(observed, claimed_at) + self.settings.lease
    }

    /// Returns when the predecessor has no rights but leases that it granted before, and the leaders
    /// before it have none.
    ///
    /// A predecessor that has ended knew when the rights of those before it expire.
    fn predecessor_expiry(
        &self,
        observed: &ObservedRecord,
        claimed_at: MonotonicTime,
    ) -> MonotonicTime {
        let ended = observed.record.released
            || observed.record.holder == self.own.holder
            || self.has_predecessor_stopped;
        if ended && observed.record.settled {
            return claimed_at;
        }
        let bound = self.settings.renew_deadline;
        let settles_in = observed.record.settles_in.filter(|_| ended);
        let remaining = settles_in.map_or(bound, |time| time.min(bound));
        claimed_at.max(observed.first_seen + remaining)
    }
}
