use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::{InstanceId, TargetId};
use crate::replication::{GroupMembers, GroupView, ServerReport, ServerRole};
use crate::units::{LeaderTerm, MonotonicTime};

use super::primary_diagnosis::current_primary;
use super::{
    AttemptPlan, FailoverCause, FailoverSettings, PrimaryDiagnosis, PrimaryWatch, SwitchoverRefusal,
};

/// The observed state of a group's servers and the health of its primary.
#[derive(Clone, Debug)]
pub(super) struct GroupMonitor {
    view: GroupView,
    watch: Option<PrimaryWatch>,
    diagnosis: PrimaryDiagnosis,
    leaving: BTreeSet<TargetId>,
}

impl GroupMonitor {
    /// Creates the monitor of a group that has not reported yet.
    pub(super) fn new(members: GroupMembers) -> Self {
        Self {
            view: GroupView::new(members),
            watch: None,
            diagnosis: PrimaryDiagnosis::default(),
            leaving: BTreeSet::new(),
        }
    }

    /// Returns the newest reports.
    pub(super) fn view(&self) -> &GroupView {
        &self.view
    }

    /// Returns the current primary's report, if a majority can follow it.
    pub(super) fn primary(&self) -> Option<&ServerReport> {
        current_primary(&self.view).map(|timed| &timed.report)
    }

    /// Returns when the primary last responded to this agent.
    pub(super) fn last_response_at(&self) -> Option<MonotonicTime> {
        self.watch.as_ref().map(PrimaryWatch::last_response_at)
    }

    /// Returns whether there is a cause for a new term.
    pub(super) fn is_suspecting(&self) -> bool {
        self.diagnosis.is_suspecting()
    }

    /// Records a report and returns the primary and its term if they changed.
    pub(super) fn observe(
        &mut self,
        report: &ServerReport,
        requested_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<(TargetId, LeaderTerm)> {
        if !self.view.observe(report.clone(), requested_at, now) {
            return None;
        }
        let primary = self.primary();
        let current = primary.map(|primary| (primary.target.clone(), primary.term));
        let watched = self.watch.as_ref();
        let watched = watched.map(|watch| (watch.target.clone(), watch.term));
        let changed = current.filter(|current| Some(current) != watched.as_ref());
        if let Some((target, term)) = &changed {
            self.watch = Some(PrimaryWatch::new(target.clone(), *term, now));
            self.diagnosis.restart();
        }
        if let Some(watch) = &mut self.watch {
            watch.observe(report, now);
        }
        changed
    }

    /// Records that a server's host refused a connection.
    pub(super) fn record_refusal(&mut self, target: &TargetId, now: MonotonicTime) {
        self.view.clear_declined(target);
        if let Some(watch) = &mut self.watch {
            watch.record_refusal(target, now);
        }
    }

    /// Records that a server rejected a connection and is alive.
    pub(super) fn set_declined(&mut self, target: &TargetId, now: MonotonicTime) {
        self.view.set_declined(target, now);
        if let Some(watch) = &mut self.watch {
            watch.set_declined(target, now);
        }
    }

    /// Records whether a server responded to another instance.
    pub(super) fn record_peer_observation(
        &mut self,
        observer: InstanceId,
        target: &TargetId,
        responded: bool,
        now: MonotonicTime,
    ) {
        let watch = self.watch.as_mut();
        if let Some(watch) = watch.filter(|watch| watch.target == *target) {
            watch.record_peer_observation(observer, responded, now);
        }
    }

    /// Restarts the failure detection after this process was paused.
    pub(super) fn restart(&mut self, now: MonotonicTime) {
        self.diagnosis.restart();
        if let Some(watch) = &mut self.watch {
            watch.restart(now);
        }
    }

    /// Leaves a delay of this process out of the failure detection, up to `limit` in total for
    /// each condition.
    pub(super) fn discount_delay(&mut self, delay: Duration, limit: Duration) {
        self.diagnosis.discount_delay(delay, limit);
        if let Some(watch) = &mut self.watch {
            watch.discount_delay(delay, limit);
        }
    }

    /// Restarts the diagnosis after an attempt has ended.
    pub(super) fn restart_diagnosis(&mut self) {
        self.diagnosis.restart();
    }

    /// Returns the cause for a new term, if any, and when it was first detected.
    pub(super) fn diagnose(
        &mut self,
        settings: &FailoverSettings,
        now: MonotonicTime,
    ) -> Option<(FailoverCause, MonotonicTime)> {
        let is_leaving = self.is_primary_leaving();
        self.diagnosis.record_leaving(is_leaving, now);
        self.diagnosis
            .update(&self.view, self.watch.as_ref(), settings, now)
    }

    /// Sets the servers that are leaving.
    pub(super) fn set_leaving(&mut self, leaving: BTreeSet<TargetId>) {
        self.leaving = leaving;
    }

    /// Returns the plan for a diagnosed cause.
    pub(super) fn plan_for(&self, cause: FailoverCause) -> AttemptPlan {
        let predecessor = self.view.primary();
        let predecessor = predecessor.map(|timed| timed.report.target.clone());
        let preferred = match cause {
            FailoverCause::ServerStranded => predecessor.clone(),
            FailoverCause::PrimaryLeaving => self.successor(None),
            _ => None,
        };
        AttemptPlan {
            cause,
            avoided: self.avoided(predecessor.as_ref()),
            predecessor,
            preferred,
        }
    }

    /// Returns the plan after the promotion of a server failed.
    pub(super) fn plan_without(&self, failed: &TargetId) -> AttemptPlan {
        AttemptPlan {
            cause: FailoverCause::NoPrimary,
            avoided: self.avoided(Some(failed)),
            predecessor: None,
            preferred: None,
        }
    }

    /// Returns the plan of a switchover to `successor`, or to any replica.
    pub(super) fn plan_switchover(
        &self,
        successor: Option<&TargetId>,
    ) -> Result<AttemptPlan, SwitchoverRefusal> {
        let primary = self.primary().ok_or(SwitchoverRefusal::NoPrimary)?;
        let chosen = self.successor(successor);
        let chosen = chosen.ok_or(SwitchoverRefusal::NoSuccessor)?;
        Ok(AttemptPlan {
            cause: FailoverCause::Switchover,
            avoided: self.avoided(Some(&primary.target)),
            predecessor: Some(primary.target.clone()),
            preferred: Some(chosen),
        })
    }

    /// Returns whether the primary is leaving and a replica that stays can
    /// take over.
    fn is_primary_leaving(&self) -> bool {
        let primary = self.primary();
        let is_leaving = primary.is_some_and(|primary| self.leaving.contains(&primary.target));
        is_leaving && self.successor(None).is_some()
    }

    /// Returns `named` if it is a replica, or, without a name, the replica with
    /// the newest log that is not leaving.
    fn successor(&self, named: Option<&TargetId>) -> Option<TargetId> {
        let primary = self.primary()?;
        let is_eligible = |report: &&ServerReport| match named {
            Some(named) => report.target == *named,
            None => !self.leaving.contains(&report.target),
        };
        let reports = self.view.reports().map(|timed| &timed.report);
        let replicas = reports
            .filter(|report| report.role == ServerRole::Replica && report.term == primary.term);
        let chosen = replicas
            .filter(is_eligible)
            .max_by_key(|report| report.last)?;
        Some(chosen.target.clone())
    }

    fn avoided(&self, other: Option<&TargetId>) -> Vec<TargetId> {
        self.leaving.iter().chain(other).cloned().collect()
    }
}
