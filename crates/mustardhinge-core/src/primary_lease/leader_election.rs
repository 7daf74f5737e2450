mod election_steps;
mod leadership_acquisition;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::held_leadership::HeldLeadership;
use super::unreadable_record::UnreadableRecord;
use super::voter_acks::VoterAcks;
use super::{
    ClaimOrder, LeaderRecord, LeadershipTerm, LeaseSettings, ObservedRecord, RecordRevision,
    StoreEra, Voter,
};
use crate::ids::InstanceId;
use crate::units::MonotonicTime;

/// Number of writes whose send times are kept. A write that is later found to have succeeded
/// counts from its send time.
const MAX_SENT_WRITES: usize = 8;
/// Allowance for clock drift: a successor waits this much longer by its own clock than the
/// leader's leases run by the leader's clock.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);

/// One instance's state in the election of the leader that replaces primaries.
///
/// The record in the store decides; it is changed only by conditional writes. A leader that
/// can't renew its record stops replacing primaries before another instance may claim
/// leadership, and stops granting leases before its successor may replace a primary.
#[derive(Clone, Debug)]
pub struct LeaderElection {
    own: LeaderRecord,
    claim_order: ClaimOrder,
    settings: LeaseSettings,
    observed: Option<ObservedRecord>,
    /// What the store has in the place of a record, if it can't be read.
    unreadable: Option<UnreadableRecord>,
    is_record_absent: bool,
    era: StoreEra,
    /// Since when the record is known to be absent in this era.
    absent_since: Option<MonotonicTime>,
    /// Whether no other instance can have become leader before the record was lost.
    is_unbroken: bool,
    held: Option<HeldLeadership>,
    last_term: LeadershipTerm,
    highest_fence: u64,
    last_heartbeat_at: MonotonicTime,
    last_read_at: Option<MonotonicTime>,
    last_write_at: Option<MonotonicTime>,
    sent_writes: VecDeque<(u64, u64, MonotonicTime)>,
    is_stale: bool,
    is_leaving: bool,
    is_retired: bool,
    has_predecessor_stopped: bool,
    next_voters: Vec<Voter>,
    voter_acks: VoterAcks,
}

impl LeaderElection {
    /// Creates the election state of the instance `holder` with the given incarnation.
    ///
    /// Instances with a lower `rank` claim leadership slightly earlier.
    #[must_use]
    pub fn new(holder: InstanceId, incarnation: u64, address: SocketAddr, rank: u32) -> Self {
        let own = LeaderRecord {
            holder,
            incarnation,
            address,
            fence: 0,
            renewals: 0,
            released: false,
            settled: false,
            settles_in: None,
            voters: Vec::new(),
            earlier_settle_in: None,
            era: StoreEra::default(),
        };
        Self {
            own,
            claim_order: ClaimOrder::by_rank(rank),
            settings: LeaseSettings::default(),
            observed: None,
            unreadable: None,
            is_record_absent: false,
            era: StoreEra::default(),
            absent_since: None,
            is_unbroken: false,
            held: None,
            last_term: LeadershipTerm::default(),
            highest_fence: 0,
            last_heartbeat_at: MonotonicTime::default(),
            last_read_at: None,
            last_write_at: None,
            sent_writes: VecDeque::new(),
            is_stale: false,
            is_leaving: false,
            is_retired: false,
            has_predecessor_stopped: false,
            next_voters: Vec::new(),
            voter_acks: VoterAcks::default(),
        }
    }

    /// Sets the order in which this instance claims leadership, instead of that of its rank.
    #[must_use]
    pub const fn with_claim_order(mut self, claim_order: ClaimOrder) -> Self {
        self.claim_order = claim_order;
        self
    }

    /// Schedules an immediate read if the record has never been read.
    ///
    /// Called when another instance requests the leader's address or addresses this instance as
    /// the leader.
    pub const fn ensure_known(&mut self) {
        if self.observed.is_none() && self.last_read_at.is_none() {
            self.is_stale = true;
        }
    }

    /// Records the era of the store. Returns whether it rose.
    ///
    /// The numbers of earlier revisions can't be compared with those of the new era, so a leader
    /// reads the record at once, and others read it before they claim.
    pub fn observe_era(&mut self, era: StoreEra, now: MonotonicTime) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        self.unreadable = None;
        self.is_record_absent = false;
        self.absent_since = None;
        self.has_predecessor_stopped = false;
        self.is_unbroken = self.held.as_ref().is_some_and(|held| {
            held.record.era.next() == era && self.is_renewed_recently(held, now)
        });
        if self.held.is_some() {
            self.is_stale = true;
        }
        true
    }

    /// Returns the newest era of the store that was observed.
    #[must_use]
    pub const fn era(&self) -> StoreEra {
        self.era
    }

    /// Records that a read was sent.
    pub fn record_read_sent(&mut self, now: MonotonicTime) {
        self.last_read_at = Some(now);
    }

    /// Records that a write of `record` was sent.
    pub fn record_write_sent(&mut self, record: &LeaderRecord, now: MonotonicTime) {
        self.last_write_at = Some(now);
        let is_renewal = |held: &HeldLeadership| held.record.fence == record.fence;
        if self.held.as_ref().is_some_and(is_renewal) {
            self.voter_acks.record_sent(record);
        }
        if self.sent_writes.len() == MAX_SENT_WRITES {
            self.sent_writes.pop_front();
        }
        self.sent_writes
            .push_back((record.fence, record.renewals, now));
    }

    /// Schedules a read of the record after a write that conflicted or got no response.
    pub const fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Applies the result of a read that was sent at `sent_at`.
    pub fn observe_record(
        &mut self,
        stored: Option<(RecordRevision, LeaderRecord)>,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        let Some((revision, record)) = stored else {
            self.is_stale = false;
            self.unreadable = None;
            self.is_record_absent = true;
            self.absent_since = self.absent_since.or(Some(now));
            self.observed = None;
            return;
        };
        if revision.era() < self.era {
            return;
        }
        self.observe_era(revision.era(), now);
        self.is_stale = false;
        self.unreadable = None;
        self.is_record_absent = false;
        self.absent_since = None;
        let is_current = record.era >= revision.era();
        let is_mine =
            record.holder == self.own.holder && record.incarnation == self.own.incarnation;
        // The response may be older than what other instances have reported since.
        let is_newest = record.fence >= self.highest_fence;
        if is_mine && is_current && is_newest && !record.released {
            let written_at = self.write_sent_at(&record).unwrap_or(sent_at).min(sent_at);
            self.acquire(revision, record, written_at);
            return;
        }
        // A record from an older copy replaces no leader, unless it is one that this instance
        // had not seen yet.
        let is_replaced = |held: &HeldLeadership| is_current || record.fence > held.record.fence;
        if self.held.as_ref().is_some_and(is_replaced) {
            self.held = None;
        }
        self.highest_fence = self.highest_fence.max(record.fence);
        let first_seen = match &self.observed {
            Some(observed) if observed.revision == revision => observed.first_seen,
            _ => now,
        };
        self.observed = Some(ObservedRecord {
            revision,
            record,
            first_seen,
        });
    }

    /// Applies the result of a read that found no record but an object of another writer.
    ///
    /// The leader replaces it under a new fence as long as no other instance can have become leader
    /// meanwhile. Others replace it like the record of a leader that is unknown.
    pub fn observe_unreadable(&mut self, revision: RecordRevision, now: MonotonicTime) {
        if revision.era() < self.era {
            return;
        }
        self.observe_era(revision.era(), now);
        self.is_stale = false;
        self.is_record_absent = false;
        self.absent_since = None;
        if self
            .unreadable
            .is_some_and(|known| known.revision == revision)
        {
            return;
        }
        let held = self.held.as_ref();
        self.is_unbroken = held.is_some_and(|held| self.is_renewed_recently(held, now));
        self.unreadable = Some(UnreadableRecord {
            revision,
            first_seen: now,
        });
    }

    fn write_sent_at(&self, record: &LeaderRecord) -> Option<MonotonicTime> {
        let mut writes = self.sent_writes.iter();
        let found = writes
            .find(|(fence, renewals, _)| *fence == record.fence && *renewals == record.renewals);
        found.map(|(_, _, sent_at)| *sent_at)
    }

    /// Records that the write sent at `sent_at` succeeded.
    pub fn confirm_write(
        &mut self,
        revision: RecordRevision,
        record: LeaderRecord,
        sent_at: MonotonicTime,
    ) {
        if revision.era() != record.era || revision.era() < self.era {
            // The store was restored before it executed the write, or after it.
            self.is_stale = true;
            return;
        }
        if record.fence < self.highest_fence {
            // Another instance has claimed since.
            self.is_stale = true;
            return;
        }
        self.is_stale = false;
        if record.released {
            self.held = None;
            self.observed = Some(ObservedRecord {
                revision,
                record,
                first_seen: sent_at,
            });
            return;
        }
        self.acquire(revision, record, sent_at);
    }

    /// Records that the previous leader has stopped or that its process has ended, so that its
    /// rights expire after one lease.
    pub fn predecessor_stopped(&mut self, now: MonotonicTime) {
        self.has_predecessor_stopped = true;
        let lease = self.settings.lease;
        if let Some(held) = &mut self.held {
            held.predecessor_ends(now + lease);
        }
    }

    /// Records that an instance has seen this leader's fence, so it no longer acknowledges an
    /// earlier leader.
    ///
    /// Once a majority of the predecessor's voters has done so, the predecessor's rights expire
    /// after [`LeaseSettings::quorum_lease`].
    pub fn voter_moved(&mut self, (instance, incarnation): (&InstanceId, u64), now: MonotonicTime) {
        let end = now + self.settings.quorum_lease + CLOCK_MARGIN;
        if let Some(held) = &mut self.held {
            held.voter_moved(instance, incarnation, end);
        }
    }

    /// Records that an instance acknowledged a response which this leader sent at `at` under
    /// `fence`.
    pub fn voter_acked(
        &mut self,
        (instance, incarnation): (&InstanceId, u64),
        fence: u64,
        at: MonotonicTime,
    ) {
        let is_own = |held: &HeldLeadership| held.record.fence == fence;
        if self.held.as_ref().is_some_and(is_own) {
            self.voter_acks.record_ack(instance, incarnation, at);
        }
    }

    /// Sets the voters for the next renewal.
    pub fn set_voters(&mut self, voters: Vec<Voter>) {
        self.next_voters = voters;
    }

    /// Returns the voters that this leader waits for because they may still acknowledge its
    /// predecessor.
    #[must_use]
    pub fn awaited_voters(&self, now: MonotonicTime) -> Vec<Voter> {
        let held = self.held.as_ref();
        held.map_or_else(Vec::new, |held| held.awaited_voters(now))
    }

    /// Applies the leadership record from a message of the leader.
    pub fn observe_leader(&mut self, observed: ObservedRecord, now: MonotonicTime) {
        if observed.record.fence < self.highest_fence {
            return;
        }
        self.observe_era(observed.revision.era(), now);
        self.observe_fence(observed.record.fence);
        if self.held.is_some() {
            return;
        }
        self.last_heartbeat_at = now;
        self.has_predecessor_stopped = false;
        let newer = self
            .observed
            .as_ref()
            .is_none_or(|known| known.revision < observed.revision);
        if newer {
            let is_replaced = |known: &mut UnreadableRecord| known.revision < observed.revision;
            self.unreadable.take_if(is_replaced);
            self.observed = Some(observed);
        }
    }

    /// Schedules an immediate read of the record after the leader released its leadership.
    pub const fn refresh(&mut self) {
        self.is_stale = true;
    }

    /// Records a fence seen in a message; a leader with a lower fence steps down.
    pub fn observe_fence(&mut self, fence: u64) {
        if fence > self.highest_fence {
            self.highest_fence = fence;
            if self.held.take().is_some() {
                self.observed = None;
                self.is_record_absent = false;
            }
        }
    }

    /// Returns the record that releases the leadership, with the expected revision for its write.
    #[must_use]
    pub fn release(&self, now: MonotonicTime) -> Option<(LeaderRecord, RecordRevision)> {
        let held = self
            .held
            .as_ref()
            .filter(|held| held.record.era == self.era)?;
        let mut record = held.record.clone();
        record.released = true;
        held.record_settling(&mut record, now);
        Some((record, held.revision))
    }

    /// Claims nothing any more. A leadership that is held is renewed until
    /// [`retire`](Self::retire).
    pub const fn stop_claiming(&mut self) {
        self.is_leaving = true;
    }

    /// Leaves the election permanently before the process stops.
    ///
    /// The write that releases the leadership may still fail. A renewal or a claim that is in flight
    /// does not return the leadership; its record has to be released.
    pub fn retire(&mut self) {
        self.is_retired = true;
        self.held = None;
    }

    /// Returns whether this instance has left the election.
    #[must_use]
    pub const fn is_retired(&self) -> bool {
        self.is_retired
    }

    /// Returns whether this instance may grant leases on primaries.
    #[must_use]
    pub fn may_grant(&self, now: MonotonicTime) -> bool {
        self.lease_duration(now).is_some()
    }

    /// Returns the duration of the leases that this instance may grant now, if any.
    ///
    /// Load pattern: the leader can't tell a store outage, during which leases must continue,
    /// from a partition of its own zone, after which another instance must replace the primaries
    /// soon. The voters distinguish the two: in a partition the leader receives no
    /// acknowledgements from a majority, and its successor does.
    #[must_use]
    pub fn lease_duration(&self, now: MonotonicTime) -> Option<Duration> {
        let held = self.held.as_ref()?;
        let settings = &self.settings;
        if now.saturating_since(held.renewed_at) >= settings.renew_deadline {
            return None;
        }
        if self.voter_acks.is_empty() {
            return Some(settings.lease);
        }
        let renewed = held.renewed_at + settings.claim_after;
        let own = (&self.own.holder, self.own.incarnation);
        let quorum_at = self
            .voter_acks
            .last_quorum_at(own, now)
            .max(Some(renewed))?;
        let left = (quorum_at + settings.quorum_lease).saturating_since(now);
        (!left.is_zero()).then(|| left.min(settings.lease))
    }

    /// Returns whether this instance may replace a primary.
    #[must_use]
    pub fn may_promote(&self, now: MonotonicTime) -> bool {
        self.held
            .as_ref()
            .is_some_and(|held| now >= held.promote_from && self.is_renewed_recently(held, now))
    }

    /// Returns whether no other instance can have claimed leadership since the last renewal.
    fn is_renewed_recently(&self, held: &HeldLeadership, now: MonotonicTime) -> bool {
        let bound = self
            .settings
            .claim_after
            .saturating_sub(self.settings.promote_margin);
        now.saturating_since(held.renewed_at) < bound
    }

    /// Returns this instance's record, its revision and the time of the last renewal while it is
    /// the leader.
    #[must_use]
    pub fn held_record(&self) -> Option<(&LeaderRecord, RecordRevision, MonotonicTime)> {
        let held = self.held.as_ref()?;
        Some((&held.record, held.revision, held.renewed_at))
    }

    /// Returns the number of the leadership that this instance holds.
    #[must_use]
    pub fn held_term(&self) -> Option<LeadershipTerm> {
        self.held.as_ref().map(|held| held.term)
    }

    /// Returns the record of the last known leader.
    #[must_use]
    pub fn known_leader(&self) -> Option<&LeaderRecord> {
        match &self.held {
            Some(held) => Some(&held.record),
            None => self.observed.as_ref().map(|observed| &observed.record),
        }
    }

    /// Returns the highest fence seen.
    #[must_use]
    pub const fn highest_fence(&self) -> u64 {
        self.highest_fence
    }
}
