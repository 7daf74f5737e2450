use std::time::Duration;

use crate::ids::TargetId;
use crate::units::{LeaderTerm, LogPosition, MonotonicTime};

use super::{GroupMembers, ServerReport, ServerRole, TimedReport, quorum_floor};

/// The newest report of each server of a group.
#[derive(Clone, Debug)]
pub struct GroupView {
    members: GroupMembers,
    reports: Vec<Option<TimedReport>>,
    declined_at: Vec<Option<MonotonicTime>>,
}

impl GroupView {
    /// Creates a view without reports.
    #[must_use]
    pub fn new(members: GroupMembers) -> Self {
        let reports = vec![None; members.count()];
        let declined_at = vec![None; members.count()];
        Self {
            members,
            reports,
            declined_at,
        }
    }

    /// Records a report and returns whether it was accepted.
    ///
    /// A report is rejected if its server is not a member, or if the recorded
    /// report of that server has a greater term, or the same term and a later
    /// request time.
    pub fn observe(
        &mut self,
        report: ServerReport,
        requested_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        let Some(index) = self.members.index_of(&report.target) else {
            return false;
        };
        let slot = &mut self.reports[index];
        if slot
            .as_ref()
            .is_some_and(|held| held.is_newer_than(&report, requested_at))
        {
            return false;
        }
        *slot = Some(TimedReport {
            report,
            requested_at,
            received_at: now,
        });
        true
    }

    /// Records that a server rejected a connection: it is alive, but does not
    /// report.
    pub fn set_declined(&mut self, target: &TargetId, now: MonotonicTime) {
        if let Some(index) = self.members.index_of(target) {
            self.declined_at[index] = Some(now);
        }
    }

    /// Clears the record of a rejected connection, since the server's process is
    /// not running.
    pub fn clear_declined(&mut self, target: &TargetId) {
        if let Some(index) = self.members.index_of(target) {
            self.declined_at[index] = None;
        }
    }

    /// Returns the servers of the group.
    #[must_use]
    pub fn members(&self) -> &GroupMembers {
        &self.members
    }

    /// Returns the newest report of a server.
    #[must_use]
    pub fn report(&self, target: &TargetId) -> Option<&TimedReport> {
        self.reports[self.members.index_of(target)?].as_ref()
    }

    /// Iterates over the newest reports.
    pub fn reports(&self) -> impl Iterator<Item = &TimedReport> {
        self.reports.iter().flatten()
    }

    /// Returns the greatest term that any server has reported.
    #[must_use]
    pub fn greatest_term(&self) -> LeaderTerm {
        let terms = self.reports().map(|timed| timed.report.term);
        terms.max().unwrap_or_default()
    }

    /// Returns the report of the current primary: of the servers that report to
    /// be primary, the one with the greatest term.
    #[must_use]
    pub fn primary(&self) -> Option<&TimedReport> {
        self.reports()
            .filter(|timed| timed.report.role == ServerRole::Primary)
            .max_by_key(|timed| timed.report.term)
    }

    /// Returns whether too many servers have left `term` for a greater one for a
    /// majority to hold a new entry of it.
    #[must_use]
    pub fn is_superseded(&self, term: LeaderTerm) -> bool {
        let ahead = self.reports().filter(|timed| timed.report.term > term);
        self.members.count() - ahead.count() < self.members.majority()
    }

    /// Returns whether the server has neither reported nor rejected a connection
    /// within `limit`.
    #[must_use]
    pub fn is_unresponsive(&self, target: &TargetId, now: MonotonicTime, limit: Duration) -> bool {
        !self.has_declined(target, now, limit) && !self.has_reported(target, now, limit)
    }

    /// Returns whether the server has reported within `limit`.
    #[must_use]
    pub fn has_reported(&self, target: &TargetId, now: MonotonicTime, limit: Duration) -> bool {
        self.report(target)
            .is_some_and(|timed| now.saturating_since(timed.received_at) <= limit)
    }

    /// Returns whether a server that the others may still follow is alive but
    /// does not report: at least one report names it as the primary, and fewer
    /// than a majority name another server or none.
    #[must_use]
    pub fn has_unreported_primary(&self, now: MonotonicTime, limit: Duration) -> bool {
        let named = self.reports().filter_map(|timed| {
            let primary = timed.report.primary.as_ref()?;
            (*primary != timed.report.target).then_some(primary)
        });
        named
            .filter(|primary| self.has_declined(primary, now, limit))
            .any(|primary| !self.is_abandoned(primary))
    }

    /// Returns whether a majority reports that it does not follow `primary`.
    fn is_abandoned(&self, primary: &TargetId) -> bool {
        let others = self
            .reports()
            .filter(|timed| timed.report.target != *primary);
        let left = others.filter(|timed| timed.report.primary.as_ref() != Some(primary));
        left.count() >= self.members.majority()
    }

    fn has_declined(&self, target: &TargetId, now: MonotonicTime, limit: Duration) -> bool {
        let index = self.members.index_of(target);
        let declined_at = index.and_then(|index| self.declined_at[index]);
        declined_at.is_some_and(|at| now.saturating_since(at) <= limit)
    }

    /// Returns the read floor from the newest reports of a majority, and its
    /// time: every write acknowledged before that time is at or before the floor.
    #[must_use]
    pub fn floor(&self) -> Option<(MonotonicTime, LogPosition)> {
        let mut reports: Vec<_> = self.reports().collect();
        reports.sort_by_key(|timed| std::cmp::Reverse(timed.requested_at));
        reports.truncate(self.members.majority());
        let last_positions: Vec<_> = reports.iter().map(|timed| timed.report.last).collect();
        let floor = quorum_floor(&self.members, &last_positions)?;
        Some((reports.last()?.requested_at, floor))
    }
}

impl TimedReport {
    /// Returns whether this report is newer than `other` of the same server, by
    /// term, then by request time.
    fn is_newer_than(&self, other: &ServerReport, requested_at: MonotonicTime) -> bool {
        let held = (self.report.term, self.requested_at);
        held > (other.term, requested_at)
    }
}
