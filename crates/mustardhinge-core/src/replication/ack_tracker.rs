use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use slotmap::SlotMap;

use crate::ids::TargetId;
use crate::units::{LeaderTerm, LogPosition, MonotonicTime};

use super::{AckFailure, AckKey, AckOutcome, AckStatus, GroupMembers, ServerReport, TermProgress};

/// Tracks the writes of one group until a majority holds them in their term.
///
/// Only reports in the write's own term count: a server that has granted a
/// greater term may have done so before it received the write.
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
    /// Creates a tracker in which a wait ends after `timeout`.
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

    /// Starts the wait for a write that `primary` reported as committed.
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

    /// Starts the wait of a read until a majority holds everything that the read
    /// may have returned; otherwise a change of primary could undo it.
    ///
    /// `position` is the last position that the server reports after the read;
    /// that report has to be passed to `observe` first. If the outcome is not
    /// `Acknowledged`, the read has to be retried at another server.
    pub fn begin_read(&mut self, position: LogPosition, now: MonotonicTime) -> AckStatus {
        self.track(position, now)
    }

    /// Records a server's report and returns the waits that it resolves.
    ///
    /// A replica receives the entries of its term from the primary of that
    /// term, so its report counts for both servers.
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

    /// Ends the waits that have timed out and returns them.
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

    /// Cancels a wait, for instance after its caller has disconnected.
    pub fn cancel(&mut self, key: AckKey) {
        self.remove(key);
        self.drop_resolved();
    }

    /// Returns the smallest pending position that `target` has not reported, to
    /// be used in the next `group_wait` call to it.
    ///
    /// Positions of a term that the server has left are skipped.
    #[must_use]
    pub fn next_awaited(&self, target: &TargetId) -> Option<LogPosition> {
        let index = self.members.index_of(target)?;
        let reachable = self.terms.range(self.server_terms[index]..);
        reachable.into_iter().find_map(|(term, progress)| {
            let offset = progress.next_pending_after(progress.held(index))?;
            Some(LogPosition::new(*term, offset))
        })
    }

    /// Returns the deadline of the next pending wait, if any.
    #[must_use]
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        self.deadlines.front().map(|(deadline, _)| *deadline)
    }

    /// Returns the number of pending waits.
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

    /// Returns the outcome of a position if the received reports determine it.
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

    /// Returns for each server whether it has left `term` for a greater one.
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

    /// Removes a wait; returns whether it was pending.
    fn remove(&mut self, key: AckKey) -> bool {
        let Some(position) = self.positions.remove(key) else {
            return false;
        };
        self.progress(position.term)
            .remove_pending(position.offset, key);
        true
    }

    /// Drops the leading deadlines and the terms of waits that have ended.
    fn drop_resolved(&mut self) {
        while let Some((_, key)) = self.deadlines.front() {
            if self.positions.contains_key(*key) {
                break;
            }
            self.deadlines.pop_front();
        }
        self.drop_old_terms();
    }

    /// Drops the terms without a pending wait, except for the newest term.
    fn drop_old_terms(&mut self) {
        let newest = self.terms.keys().next_back().copied();
        self.terms
            .retain(|term, progress| Some(*term) == newest || !progress.is_empty());
    }
}
