use std::collections::BTreeMap;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{
    AckKey, AckOutcome, AckStatus, AckTracker, FloorAction, FloorSettings, FloorTracker,
    GroupMembers, RoundNumber, ServerReport,
};

use super::model_group::{ModelEntry, index_of, target};
use super::{InjectedFault, InvariantChecker, ModelGroup};

/// Models an instance: its trackers and its pending writes and reads.
pub(crate) struct InstanceModel {
    fault: InjectedFault,
    acks: AckTracker,
    pending_writes: BTreeMap<AckKey, (LogPosition, ModelEntry)>,
    pending_reads: BTreeMap<AckKey, (LeaderTerm, Vec<ModelEntry>)>,
    greatest_applied: Vec<LogPosition>,
    floors: FloorTracker,
    floor_bounds: BTreeMap<RoundNumber, usize>,
}

impl InstanceModel {
    pub(crate) fn new(members: GroupMembers, fault: InjectedFault) -> Self {
        Self {
            fault,
            acks: AckTracker::new(members.clone(), Duration::from_secs(60)),
            pending_writes: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            greatest_applied: vec![LogPosition::default(); members.count()],
            floors: FloorTracker::new(members, FloorSettings::new()),
            floor_bounds: BTreeMap::new(),
        }
    }

    /// Handles a write of this instance that a server has committed.
    pub(crate) fn write(
        &mut self,
        server: usize,
        (position, entry): (LogPosition, ModelEntry),
        now: MonotonicTime,
        checker: &mut InvariantChecker,
    ) {
        if self.fault == InjectedFault::AckAtPrimary {
            checker.acknowledge(position, entry);
            return;
        }
        match self.acks.begin(&target(server), position, now) {
            AckStatus::Waiting(key) => {
                self.pending_writes.insert(key, (position, entry));
            }
            AckStatus::Resolved(AckOutcome::Acknowledged) => checker.acknowledge(position, entry),
            AckStatus::Resolved(AckOutcome::Unknown(_)) => {}
        }
    }

    /// Handles a report with its request time and the current time.
    pub(crate) fn handle_report(
        &mut self,
        mut report: ServerReport,
        (requested_at, now): (MonotonicTime, MonotonicTime),
        group: &ModelGroup,
        checker: &mut InvariantChecker,
    ) {
        let requested_at = match self.fault {
            InjectedFault::StaleFloorReports => now,
            _ => requested_at,
        };
        let greatest = &mut self.greatest_applied[index_of(&report.target)];
        *greatest = report.applied.max(*greatest);
        let actions = self.floors.observe(&report, requested_at, now);
        self.handle_floor_actions(actions, now, group, checker);
        if self.fault == InjectedFault::AckByOffset {
            let pending = self.pending_writes.values().next();
            let term = pending.map_or(report.term, |(position, _)| position.term);
            report.term = term;
            report.last.term = term;
        }
        for (key, outcome) in self.acks.observe(&report) {
            let write = self.pending_writes.remove(&key);
            let read = self.pending_reads.remove(&key);
            if outcome != AckOutcome::Acknowledged {
                continue;
            }
            if let Some((position, entry)) = write {
                checker.acknowledge(position, entry);
            }
            if let Some((term, rows)) = read {
                checker.release_read(term, rows);
            }
        }
    }

    pub(crate) fn join_floor(
        &mut self,
        now: MonotonicTime,
        group: &ModelGroup,
        checker: &mut InvariantChecker,
    ) {
        let (round, action) = self.floors.join(now);
        self.floor_bounds.insert(round, checker.acked());
        self.handle_floor_actions(action.into_iter().collect(), now, group, checker);
    }

    pub(crate) fn expire(
        &mut self,
        now: MonotonicTime,
        group: &ModelGroup,
        checker: &mut InvariantChecker,
    ) {
        let actions = self.floors.expire(now);
        self.handle_floor_actions(actions, now, group, checker);
    }

    fn handle_floor_actions(
        &mut self,
        actions: Vec<FloorAction>,
        now: MonotonicTime,
        group: &ModelGroup,
        checker: &mut InvariantChecker,
    ) {
        for action in actions {
            let FloorAction::Complete { round, floor } = action else {
                continue;
            };
            let bound = self.floor_bounds.remove(&round).unwrap_or(0);
            for server in 0..group.servers.len() {
                if self.greatest_applied[server] >= floor {
                    checker.check_rows(&group.servers[server].log, bound);
                    self.read(server, now, group, checker);
                }
            }
        }
    }

    fn read(
        &mut self,
        server: usize,
        now: MonotonicTime,
        group: &ModelGroup,
        checker: &mut InvariantChecker,
    ) {
        let rows = group.servers[server].log.clone();
        let report = group.report(server);
        let term = report.last.term;
        if self.fault == InjectedFault::ReleaseReadsAtOnce {
            checker.release_read(term, rows);
            return;
        }
        self.handle_report(report.clone(), (now, now), group, checker);
        match self.acks.begin_read(report.last, now) {
            AckStatus::Waiting(key) => {
                self.pending_reads.insert(key, (term, rows));
            }
            AckStatus::Resolved(AckOutcome::Acknowledged) => checker.release_read(term, rows),
            AckStatus::Resolved(AckOutcome::Unknown(_)) => {}
        }
    }
}
