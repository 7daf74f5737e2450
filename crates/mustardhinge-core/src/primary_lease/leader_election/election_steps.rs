//! The next action of an instance in the election.

use std::time::Duration;

use super::LeaderElection;
use crate::primary_lease::held_leadership::HeldLeadership;
use crate::primary_lease::unreadable_record::UnreadableRecord;
use crate::primary_lease::{ElectionStep, LeaderRecord, ObservedRecord, RecordRevision, StoreEra};
use crate::units::MonotonicTime;

/// Minimum interval between reads of the record, and between claims, while the leader is
/// unresponsive.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a message of the leader after which the record is read: two requests are
/// unanswered.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Interval between reads after a write whose outcome is unknown.
const STALE_READ_INTERVAL: Duration = Duration::from_millis(100);

impl LeaderElection {
    /// Returns the next action.
    #[must_use]
    pub fn next_step(&self, now: MonotonicTime) -> ElectionStep {
        if self.is_retired {
            return ElectionStep::Wait;
        }
        if self.is_stale {
            return match self.last_read_at {
                Some(at) if now.saturating_since(at) < STALE_READ_INTERVAL => ElectionStep::Wait,
                _ => ElectionStep::Read,
            };
        }
        if let Some(held) = &self.held {
            return self.renewal_step(held, now);
        }
        if self.is_leaving {
            return ElectionStep::Wait;
        }
        let is_unresponsive = self.observed.is_none()
            || now.saturating_since(self.last_heartbeat_at) > LEADER_TIMEOUT;
        if !is_unresponsive {
            return ElectionStep::Wait;
        }
        self.claim_or_read(now)
    }

    fn claim_or_read(&self, now: MonotonicTime) -> ElectionStep {
        if let Some(step) = self.claim_step(now) {
            return step;
        }
        match self.last_read_at {
            Some(at) if now.saturating_since(at) < READ_INTERVAL => ElectionStep::Wait,
            _ => ElectionStep::Read,
        }
    }

    fn renewal_step(&self, held: &HeldLeadership, now: MonotonicTime) -> ElectionStep {
        if self.needs_restore(held) {
            return self.restore_step(held, now);
        }
        let last = self
            .last_write_at
            .unwrap_or(held.renewed_at)
            .max(held.renewed_at);
        if now.saturating_since(last) < self.settings.renew_interval {
            return ElectionStep::Wait;
        }
        let mut record = held.record.clone();
        record.renewals += 1;
        held.record_settling(&mut record, now);
        record.voters.clone_from(&self.next_voters);
        ElectionStep::Write {
            record,
            expected: Some(held.revision),
        }
    }

    /// Returns whether the store lost the leader's record, or has it overwritten by another writer or
    /// by a write that was sent in an earlier era and whose expected number has been issued again.
    fn needs_restore(&self, held: &HeldLeadership) -> bool {
        if self.unreadable.is_some() {
            return true;
        }
        let is_overwritten = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.is_from_copy() && observed.revision > held.revision);
        held.record.era < self.era || is_overwritten
    }

    /// Returns the step by which a leader writes its lost record again, with a new fence.
    ///
    /// A leader whose last renewal is too old may have been replaced by a leader whose record was
    /// lost as well and who still replaces primaries, so it waits like any other claimant.
    fn restore_step(&self, held: &HeldLeadership, now: MonotonicTime) -> ElectionStep {
        let is_recent = |at: MonotonicTime| now.saturating_since(at) < STALE_READ_INTERVAL;
        if self.last_write_at.is_some_and(is_recent) {
            return ElectionStep::Wait;
        }
        if !self.is_renewed_recently(held, now) {
            return self.claim_or_read(now);
        }
        let stored = match &self.unreadable {
            Some(unreadable) => Some(unreadable.revision),
            None => self.observed.as_ref().map(|observed| observed.revision),
        };
        let expected = stored.filter(|revision| revision.era() == self.era);
        if expected.is_none() && !self.is_record_absent {
            return match self.last_read_at {
                Some(at) if is_recent(at) => ElectionStep::Wait,
                _ => ElectionStep::Read,
            };
        }
        let mut record = self.claim_record(self.highest_fence + 1, expected);
        record.settled = self.is_unbroken && held.is_settled(now);
        ElectionStep::Write { record, expected }
    }

    fn claim_step(&self, now: MonotonicTime) -> Option<ElectionStep> {
        if self
            .last_write_at
            .is_some_and(|at| now.saturating_since(at) < READ_INTERVAL)
        {
            return None;
        }
        if let Some(unreadable) = &self.unreadable {
            return self.unreadable_claim_step(unreadable, now);
        }
        let Some(observed) = &self.observed else {
            return self.absent_claim_step(now);
        };
        if observed.revision.era() < self.era {
            return None;
        }
        let is_own = observed.record.holder == self.own.holder;
        let spread = self.claim_order.spread;
        let wait = match (is_own, observed.record.released) {
            _ if observed.is_from_copy() => self.settings.claim_after + spread,
            (true, _) => Duration::ZERO,
            (false, true) => spread,
            (false, false) => self.settings.claim_after + spread,
        };
        if now.saturating_since(observed.first_seen) < wait {
            return None;
        }
        let fence = observed.record.fence.max(self.highest_fence) + 1;
        let mut record = self.claim_record(fence, Some(observed.revision));
        if !observed.is_from_copy() {
            // A successor relies on it if this instance ends before its first renewal.
            let promote_from = self.promote_from(observed, now);
            HeldLeadership::record_settling_at(&mut record, promote_from, now);
            self.inherit_voters(&mut record, observed, now);
        }
        Some(ElectionStep::Write {
            record,
            expected: Some(observed.revision),
        })
    }

    /// Sets the voters of a claim to those of the leader that it replaces, until the first renewal.
    ///
    /// They limit this leader as well, so a successor that a majority of them follows has to wait for
    /// neither of the two.
    fn inherit_voters(
        &self,
        record: &mut LeaderRecord,
        observed: &ObservedRecord,
        now: MonotonicTime,
    ) {
        record.voters.clone_from(&observed.record.voters);
        let unfollowed_until = self
            .unfollowed_expiry()
            .filter(|_| !record.voters.is_empty());
        record.earlier_settle_in =
            unfollowed_until.map(|until| HeldLeadership::time_until(until, now));
    }

    /// Returns the claim that replaces an object of another writer, after the same wait as for a
    /// record that its leader doesn't renew.
    fn unreadable_claim_step(
        &self,
        unreadable: &UnreadableRecord,
        now: MonotonicTime,
    ) -> Option<ElectionStep> {
        let wait = self.settings.claim_after + self.claim_order.spread;
        let expected = Some(unreadable.revision);
        (now.saturating_since(unreadable.first_seen) >= wait).then(|| ElectionStep::Write {
            record: self.claim_record(self.highest_fence + 1, expected),
            expected,
        })
    }

    /// Returns the claim for a record that the store doesn't have.
    ///
    /// A restored store may have lost the record of a leader that still replaces primaries, so the
    /// claim waits as long as for a record that its leader doesn't renew.
    fn absent_claim_step(&self, now: MonotonicTime) -> Option<ElectionStep> {
        let is_first = self.era == StoreEra::default();
        let wait = if is_first {
            self.claim_order.first_delay
        } else {
            self.settings.claim_after + self.claim_order.spread
        };
        let has_waited = self
            .absent_since
            .is_some_and(|since| now.saturating_since(since) >= wait);
        let mut record = self.claim_record(self.highest_fence + 1, None);
        record.settled = is_first && self.highest_fence == 0;
        let may_claim = self.is_record_absent && has_waited;
        may_claim.then_some(ElectionStep::Write {
            record,
            expected: None,
        })
    }

    /// Returns a claim with at least the given fence.
    ///
    /// After a restore, and if the record can't be read, the fence is also above the revision that
    /// the claim replaces. Each claim of an era replaces a later revision, so no two of them have the
    /// same fence, even if neither claimant has seen the other's.
    fn claim_record(&self, fence: u64, expected: Option<RecordRevision>) -> LeaderRecord {
        let replaced = expected.map_or(0, RecordRevision::number);
        let floor = match self.era.counter_floor() {
            0 if self.unreadable.is_some() => replaced + 1,
            0 => 0,
            floor => floor + replaced + 1,
        };
        LeaderRecord {
            fence: fence.max(floor),
            era: self.era,
            ..self.own.clone()
        }
    }
}
