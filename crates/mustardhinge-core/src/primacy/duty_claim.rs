use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::held_duty::HeldDuty;
use super::voter_lists::VoterLists;
use super::{DutyRecord, DutyStep, DutyVoter, PrimacySettings, RecordRevision, RecordSighting};
use crate::ids::InstanceId;
use crate::units::MonotonicTime;

/// How often the record is read again while its holder is silent.
const READ_EVERY: Duration = Duration::from_millis(400);
/// A holder that was not heard for this long is looked up: two asks went unanswered.
const HOLDER_SILENCE: Duration = Duration::from_millis(1_100);
/// A write whose answer is missing is looked up after this time.
const UNSURE_READ_EVERY: Duration = Duration::from_millis(100);
/// Writes whose sending times are remembered, to date one that is found done later.
const REMEMBERED_WRITES: usize = 8;
/// Leases end this much sooner by the holder's clock than its successor waits by its own.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);
/// How far apart the claims of two instances lie, so that one of them wins unopposed.
const CLAIM_SPREAD: Duration = Duration::from_millis(15);

/// One instance's part in the question who holds the duty to replace primaries.
///
/// The record in the store decides: it is changed only under the condition that nobody
/// changed it meanwhile. A holder that can't renew stops replacing primaries before
/// another may claim, and stops lending before that other may replace one.
#[derive(Clone, Debug)]
pub struct DutyClaim {
    own: DutyRecord,
    rank: u32,
    settings: PrimacySettings,
    seen: Option<RecordSighting>,
    seen_absent: bool,
    held: Option<HeldDuty>,
    highest_fence: u64,
    heard_at: MonotonicTime,
    read_at: Option<MonotonicTime>,
    written_at: Option<MonotonicTime>,
    sent_writes: VecDeque<(u64, u64, MonotonicTime)>,
    is_unsure: bool,
    is_retired: bool,
    predecessor_gone: bool,
    next_voters: Vec<DutyVoter>,
    lists: VoterLists,
}

impl DutyClaim {
    /// Makes the part of the instance `holder`, whose present life is `incarnation`.
    ///
    /// Instances of lower `rank` claim a little sooner.
    #[must_use]
    pub fn new(holder: InstanceId, incarnation: u64, address: SocketAddr, rank: u32) -> Self {
        let own = DutyRecord {
            holder,
            incarnation,
            address,
            fence: 0,
            renewals: 0,
            released: false,
            settled: false,
            voters: Vec::new(),
        };
        Self {
            own,
            rank,
            settings: PrimacySettings::default(),
            seen: None,
            seen_absent: false,
            held: None,
            highest_fence: 0,
            heard_at: MonotonicTime::default(),
            read_at: None,
            written_at: None,
            sent_writes: VecDeque::new(),
            is_unsure: false,
            is_retired: false,
            predecessor_gone: false,
            next_voters: Vec::new(),
            lists: VoterLists::default(),
        }
    }

    /// Takes that another instance takes this one for the holder, or asks who is: what has not been
    /// read yet is read at once.
    pub const fn asked_for_holder(&mut self) {
        if self.seen.is_none() && self.read_at.is_none() {
            self.is_unsure = true;
        }
    }

    /// Returns what to do now.
    #[must_use]
    pub fn next_step(&self, now: MonotonicTime) -> DutyStep {
        if self.is_retired {
            return DutyStep::Wait;
        }
        if self.is_unsure {
            return match self.read_at {
                Some(at) if now.saturating_since(at) < UNSURE_READ_EVERY => DutyStep::Wait,
                _ => DutyStep::Read,
            };
        }
        if let Some(held) = &self.held {
            return self.renewal_step(held, now);
        }
        let silent = self.seen.is_none() || now.saturating_since(self.heard_at) > HOLDER_SILENCE;
        if !silent {
            return DutyStep::Wait;
        }
        if let Some(step) = self.claim_step(now) {
            return step;
        }
        match self.read_at {
            Some(at) if now.saturating_since(at) < READ_EVERY => DutyStep::Wait,
            _ => DutyStep::Read,
        }
    }

    fn renewal_step(&self, held: &HeldDuty, now: MonotonicTime) -> DutyStep {
        let last = self
            .written_at
            .unwrap_or(held.renewed_at)
            .max(held.renewed_at);
        if now.saturating_since(last) < self.settings.renew_every {
            return DutyStep::Wait;
        }
        let mut record = held.record.clone();
        record.renewals += 1;
        record.settled = held.is_settled(now);
        record.voters.clone_from(&self.next_voters);
        DutyStep::Write {
            record,
            expected: Some(held.revision),
        }
    }

    fn claim_step(&self, now: MonotonicTime) -> Option<DutyStep> {
        if self
            .written_at
            .is_some_and(|at| now.saturating_since(at) < READ_EVERY)
        {
            return None;
        }
        let Some(seen) = &self.seen else {
            let mut record = self.claim_record(self.highest_fence + 1);
            record.settled = self.highest_fence == 0;
            return self.seen_absent.then_some(DutyStep::Write {
                record,
                expected: None,
            });
        };
        let is_own = seen.record.holder == self.own.holder;
        let spread = CLAIM_SPREAD * self.rank;
        let wait = match (is_own, seen.record.released) {
            (true, _) => Duration::ZERO,
            (false, true) => spread,
            (false, false) => self.settings.claim_after + spread,
        };
        (now.saturating_since(seen.first_seen) >= wait).then(|| DutyStep::Write {
            record: self.claim_record(seen.record.fence.max(self.highest_fence) + 1),
            expected: Some(seen.revision),
        })
    }

    fn claim_record(&self, fence: u64) -> DutyRecord {
        DutyRecord {
            fence,
            ..self.own.clone()
        }
    }

    /// Notes that a read was sent.
    pub fn note_read(&mut self, now: MonotonicTime) {
        self.read_at = Some(now);
    }

    /// Notes that `record` was sent to be written.
    pub fn note_write(&mut self, record: &DutyRecord, now: MonotonicTime) {
        self.written_at = Some(now);
        let is_renewal = |held: &HeldDuty| held.record.fence == record.fence;
        if self.held.as_ref().is_some_and(is_renewal) {
            self.lists.note_sent(record);
        }
        if self.sent_writes.len() == REMEMBERED_WRITES {
            self.sent_writes.pop_front();
        }
        self.sent_writes
            .push_back((record.fence, record.renewals, now));
    }

    /// Notes that a write met another revision, or that its answer is missing: the record
    /// has to be read.
    pub const fn note_unsure(&mut self) {
        self.is_unsure = true;
    }

    /// Takes the record as read from the store, by a read that was sent at `sent_at`.
    pub fn saw_record(
        &mut self,
        stored: Option<(RecordRevision, DutyRecord)>,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.is_unsure = false;
        let Some((revision, record)) = stored else {
            self.seen_absent = true;
            self.seen = None;
            return;
        };
        self.seen_absent = false;
        let is_mine =
            record.holder == self.own.holder && record.incarnation == self.own.incarnation;
        if is_mine && !record.released {
            let written_at = self.sending_time(&record).unwrap_or(sent_at).min(sent_at);
            self.won(revision, record, written_at);
            return;
        }
        if self.held.is_some() {
            self.held = None;
        }
        self.highest_fence = self.highest_fence.max(record.fence);
        let first_seen = match &self.seen {
            Some(seen) if seen.revision == revision => seen.first_seen,
            _ => now,
        };
        self.seen = Some(RecordSighting {
            revision,
            record,
            first_seen,
        });
    }

    fn sending_time(&self, record: &DutyRecord) -> Option<MonotonicTime> {
        let mut writes = self.sent_writes.iter();
        let found = writes
            .find(|(fence, renewals, _)| *fence == record.fence && *renewals == record.renewals);
        found.map(|(_, _, sent_at)| *sent_at)
    }

    /// Takes the store's word that the write sent at `sent_at` was done.
    pub fn wrote(&mut self, revision: RecordRevision, record: DutyRecord, sent_at: MonotonicTime) {
        self.is_unsure = false;
        if record.released {
            self.held = None;
            self.seen = Some(RecordSighting {
                revision,
                record,
                first_seen: sent_at,
            });
            return;
        }
        self.won(revision, record, sent_at);
    }

    fn won(&mut self, revision: RecordRevision, record: DutyRecord, sent_at: MonotonicTime) {
        self.highest_fence = self.highest_fence.max(record.fence);
        let held = self.held.take();
        if let Some(mut held) = held.filter(|held| held.record.fence == record.fence) {
            self.lists.confirm(&record);
            held.record = record;
            held.revision = revision;
            held.renewed_at = sent_at;
            self.held = Some(held);
            return;
        }
        self.lists.begin(record.fence);
        self.lists.confirm(&record);
        let bound = self.settings.grant_bound + self.settings.lease;
        let promote_from = match &self.seen {
            None if record.settled => sent_at,
            // The store lost the record of a holder that was heard of.
            None => sent_at + bound,
            Some(seen) => self.predecessor_end(seen, sent_at) + self.settings.lease,
        };
        let replaced = self.seen.as_ref().map(|seen| &seen.record);
        self.held = Some(HeldDuty {
            record,
            revision,
            renewed_at: sent_at,
            promote_from,
            has_one_predecessor: replaced.is_none_or(|before| before.settled),
            replaced_voters: replaced.map_or_else(Vec::new, |before| before.voters.clone()),
            moved: BTreeSet::new(),
        });
        let own = (self.own.holder.clone(), self.own.incarnation);
        self.voter_moved((&own.0, own.1), sent_at);
    }

    fn predecessor_end(&self, seen: &RecordSighting, claimed_at: MonotonicTime) -> MonotonicTime {
        let ended =
            seen.record.released || seen.record.holder == self.own.holder || self.predecessor_gone;
        if ended && seen.record.settled {
            return claimed_at;
        }
        claimed_at.max(seen.first_seen + self.settings.grant_bound)
    }

    /// Takes the word of the former holder that it stopped, or the sign that its process
    /// has ended.
    pub fn predecessor_stopped(&mut self, now: MonotonicTime) {
        self.predecessor_gone = true;
        let lease = self.settings.lease;
        if let Some(held) = &mut self.held {
            held.predecessor_ends(now + lease);
        }
    }

    /// Takes that an instance has heard of this holder's fence, and so goes along with no holder
    /// before it. Once most voters of that one do, its rights end soon.
    pub fn voter_moved(&mut self, (instance, incarnation): (&InstanceId, u64), now: MonotonicTime) {
        let end = now + self.settings.backed_use + CLOCK_MARGIN;
        if let Some(held) = &mut self.held {
            held.voter_moved(instance, incarnation, end);
        }
    }

    /// Takes that an instance repeats what this holder of `fence` answered at `at`.
    pub fn voter_echoed(
        &mut self,
        (instance, incarnation): (&InstanceId, u64),
        fence: u64,
        at: MonotonicTime,
    ) {
        let is_own = |held: &HeldDuty| held.record.fence == fence;
        if self.held.as_ref().is_some_and(is_own) {
            self.lists.echoed(instance, incarnation, at);
        }
    }

    /// Sets the voters that the next renewal names.
    pub fn set_voters(&mut self, voters: Vec<DutyVoter>) {
        self.next_voters = voters;
    }

    /// Returns the voters that this holder waits for, since they may go along with the one
    /// before it.
    #[must_use]
    pub fn awaited_voters(&self, now: MonotonicTime) -> Vec<DutyVoter> {
        let held = self.held.as_ref();
        held.map_or_else(Vec::new, |held| held.awaited_voters(now))
    }

    /// Takes from a holder's message when its record was last renewed.
    pub fn heard_holder(&mut self, sighting: RecordSighting, now: MonotonicTime) {
        if sighting.record.fence < self.highest_fence {
            return;
        }
        self.heard_fence(sighting.record.fence);
        if self.held.is_some() {
            return;
        }
        self.heard_at = now;
        self.predecessor_gone = false;
        let newer = self
            .seen
            .as_ref()
            .is_none_or(|seen| seen.revision < sighting.revision);
        if newer {
            self.seen = Some(sighting);
        }
    }

    /// Looks the record up at once, since its holder has given the duty up.
    pub const fn look_up(&mut self) {
        self.is_unsure = true;
    }

    /// Takes a fence seen elsewhere; a holder with a lower one steps down.
    pub fn heard_fence(&mut self, fence: u64) {
        if fence > self.highest_fence {
            self.highest_fence = fence;
            if self.held.take().is_some() {
                self.seen = None;
                self.seen_absent = false;
            }
        }
    }

    /// Returns the record to write to give the duty up, with the revision it depends on.
    #[must_use]
    pub fn release(&self, now: MonotonicTime) -> Option<(DutyRecord, RecordRevision)> {
        let held = self.held.as_ref()?;
        let mut record = held.record.clone();
        record.released = true;
        record.settled = held.is_settled(now);
        Some((record, held.revision))
    }

    /// Gives the duty up for good, since the process is to end; the write of the release may
    /// still fail.
    pub fn retire(&mut self) {
        self.is_retired = true;
        self.held = None;
    }

    /// Returns whether this instance may lend the use of primaries.
    #[must_use]
    pub fn may_grant(&self, now: MonotonicTime) -> bool {
        self.lease_for(now).is_some()
    }

    /// Returns for how long this instance may lend the use of primaries now; none if it may not.
    ///
    /// Load pattern: an outage of the store, which must not end the use of primaries, looks to
    /// the holder like a cut of its own zone, in which others have to replace them soon. The
    /// voters tell which it is: cut off, it no longer hears most of them, and its successor does.
    #[must_use]
    pub fn lease_for(&self, now: MonotonicTime) -> Option<Duration> {
        let held = self.held.as_ref()?;
        let settings = &self.settings;
        if now.saturating_since(held.renewed_at) >= settings.grant_bound {
            return None;
        }
        if self.lists.are_empty() {
            return Some(settings.lease);
        }
        let renewed = held.renewed_at + settings.claim_after;
        let own = (&self.own.holder, self.own.incarnation);
        let backed = self.lists.backed_at(own, now).max(Some(renewed))?;
        let left = (backed + settings.backed_use).saturating_since(now);
        (!left.is_zero()).then(|| left.min(settings.lease))
    }

    /// Returns whether this instance may replace a primary.
    #[must_use]
    pub fn may_promote(&self, now: MonotonicTime) -> bool {
        let bound = self
            .settings
            .claim_after
            .saturating_sub(self.settings.promote_margin);
        self.held.as_ref().is_some_and(|held| {
            now >= held.promote_from && now.saturating_since(held.renewed_at) < bound
        })
    }

    /// Returns this instance's record while it holds the duty.
    #[must_use]
    pub fn held_record(&self) -> Option<(&DutyRecord, RecordRevision, MonotonicTime)> {
        let held = self.held.as_ref()?;
        Some((&held.record, held.revision, held.renewed_at))
    }

    /// Returns the holder as far as known here.
    #[must_use]
    pub fn known_holder(&self) -> Option<&DutyRecord> {
        match &self.held {
            Some(held) => Some(&held.record),
            None => self.seen.as_ref().map(|seen| &seen.record),
        }
    }

    /// Returns the greatest fence seen.
    #[must_use]
    pub const fn highest_fence(&self) -> u64 {
        self.highest_fence
    }
}
