use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use slotmap::SlotMap;

use crate::ids::TargetId;
use crate::units::{LeaderTerm, LogPosition, MonotonicTime};

use super::{AckFailure, AckKey, AckOutcome, AckStatus, GroupMembers, ServerReport, TermProgress};

/// The writes of one group that wait until a majority holds them in their term.
///
/// Only a report made in the write's own term counts: a server that has granted
/// a greater term may have done so before the write reached it.
#[derive(Clone, Debug)]
pub struct AckTracker {
    members: GroupMembers,
    timeout: Duration,
    positions: SlotMap<AckKey, LogPosition>,
    deadlines: VecDeque<(MonotonicTime, AckKey)>,
    terms: BTreeMap<LeaderTerm, TermProgress>,
    server_terms: Vec<LeaderTerm>,
}

impl AckTracker {
    /// Makes a tracker whose writes wait for `timeout` at most.
    #[must_use]
    pub fn new(members: GroupMembers, timeout: Duration) -> Self {
        let server_terms = vec![LeaderTerm::default(); members.count()];
        Self {
            members,
            timeout,
            positions: SlotMap::with_key(),
            deadlines: VecDeque::new(),
            terms: BTreeMap::new(),
            server_terms,
        }
    }

    /// Starts the wait of a write that `primary` reported as committed.
    pub fn begin(
        &mut self,
        primary: &TargetId,
        position: LogPosition,
        now: MonotonicTime,
    ) -> AckStatus {
        if let Some(index) = self.members.index_of(primary) {
            self.progress(position.term).advance(index, position.offset);
        }
        self.track(position, now)
    }

    /// Starts the wait of a read's answer until a majority holds everything
    /// that the read may have seen; else a change of primary could undo it.
    ///
    /// `position` is the last one that the server of the read reports after
    /// the read; that report has to be given to `observe` first. If the outcome
    /// is not `Acknowledged`, the read is to be made again elsewhere.
    pub fn begin_read(&mut self, position: LogPosition, now: MonotonicTime) -> AckStatus {
        self.track(position, now)
    }

    /// Takes in a server's report and returns the writes that it decided.
    ///
    /// What a replica holds of its term it has from the term's primary, so the
    /// report speaks for both.
    pub fn observe(&mut self, report: &ServerReport) -> Vec<(AckKey, AckOutcome)> {
        let Some(index) = self.members.index_of(&report.target) else {
            return Vec::new();
        };
        self.server_terms[index] = self.server_terms[index].max(report.term);
        if let Some(held) = report.held_in(report.term) {
            let primary = report.primary.as_ref();
            let primary = primary.and_then(|target| self.members.index_of(target));
            let progress = self.progress(report.term);
            progress.advance(index, held.offset);
            if let Some(primary) = primary {
                progress.advance(primary, held.offset);
            }
        }
        self.resolve()
    }

    /// Ends the waits whose time is over.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<(AckKey, AckOutcome)> {
        let mut timed_out = Vec::new();
        while let Some(&(deadline, key)) = self.deadlines.front() {
            if now < deadline {
                break;
            }
            self.deadlines.pop_front();
            if self.remove(key) {
                timed_out.push((key, AckOutcome::Unknown(AckFailure::TimedOut)));
            }
        }
        self.drop_resolved();
        timed_out
    }

    /// Ends one wait, for instance since its caller has gone.
    pub fn cancel(&mut self, key: AckKey) {
        self.remove(key);
        self.drop_resolved();
    }

    /// Returns the smallest position that a write waits for and that `target`
    /// has not reported; what the next `group_wait` at it should name.
    ///
    /// Positions of a term that the server has left are passed over.
    #[must_use]
    pub fn next_awaited(&self, target: &TargetId) -> Option<LogPosition> {
        let index = self.members.index_of(target)?;
        let reachable = self.terms.range(self.server_terms[index]..);
        reachable.into_iter().find_map(|(term, progress)| {
            let offset = progress.next_pending_after(progress.held(index))?;
            Some(LogPosition::new(*term, offset))
        })
    }

    /// Returns the time at which the next wait ends, if any write waits.
    #[must_use]
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        self.deadlines.front().map(|(deadline, _)| *deadline)
    }

    /// Returns the number of writes that wait.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.positions.len()
    }

    fn progress(&mut self, term: LeaderTerm) -> &mut TermProgress {
        let servers = self.members.count();
        self.terms
            .entry(term)
            .or_insert_with(|| TermProgress::new(servers))
    }

    fn track(&mut self, position: LogPosition, now: MonotonicTime) -> AckStatus {
        if let Some(outcome) = self.outcome_of(position) {
            self.drop_old_terms();
            return AckStatus::Resolved(outcome);
        }
        let deadline = now + self.timeout;
        let key = self.positions.insert(position);
        self.deadlines.push_back((deadline, key));
        self.progress(position.term)
            .insert_pending(position.offset, key);
        AckStatus::Waiting(key)
    }

    /// Decides a write from the reports that have come in.
    fn outcome_of(&mut self, position: LogPosition) -> Option<AckOutcome> {
        let majority = self.members.majority();
        let left = self.servers_past_term(position.term);
        let progress = self.progress(position.term);
        if progress.majority_offset(majority) >= position.offset {
            return Some(AckOutcome::Acknowledged);
        }
        let is_lost = progress.reachable_offset(majority, &left) < position.offset;
        is_lost.then_some(AckOutcome::Unknown(AckFailure::TermSuperseded))
    }

    /// Tells of each server whether it has left `term` for a greater one.
    fn servers_past_term(&self, term: LeaderTerm) -> Vec<bool> {
        self.server_terms
            .iter()
            .map(|other| *other > term)
            .collect()
    }

    fn resolve(&mut self) -> Vec<(AckKey, AckOutcome)> {
        let majority = self.members.majority();
        let mut resolved = Vec::new();
        for (term, progress) in &mut self.terms {
            let offset = progress.majority_offset(majority);
            let held = progress.drain_up_to(offset);
            resolved.extend(held.into_iter().map(|key| (key, AckOutcome::Acknowledged)));
            let left: Vec<_> = self.server_terms.iter().map(|other| other > term).collect();
            let reachable = progress.reachable_offset(majority, &left);
            let lost = progress.drain_after(reachable);
            let outcome = AckOutcome::Unknown(AckFailure::TermSuperseded);
            resolved.extend(lost.into_iter().map(|key| (key, outcome)));
        }
        for (key, _) in &resolved {
            self.positions.remove(*key);
        }
        self.drop_resolved();
        resolved
    }

    /// Removes a wait; returns whether it was under way.
    fn remove(&mut self, key: AckKey) -> bool {
        let Some(position) = self.positions.remove(key) else {
            return false;
        };
        self.progress(position.term)
            .remove_pending(position.offset, key);
        true
    }

    /// Drops what is kept for waits that have ended.
    fn drop_resolved(&mut self) {
        while let Some((_, key)) = self.deadlines.front() {
            if self.positions.contains_key(*key) {
                break;
            }
            self.deadlines.pop_front();
        }
        self.drop_old_terms();
    }

    /// Drops terms before the newest in which no write waits.
    fn drop_old_terms(&mut self) {
        let newest = self.terms.keys().next_back().copied();
        self.terms
            .retain(|term, progress| Some(*term) == newest || !progress.is_empty());
    }
}
