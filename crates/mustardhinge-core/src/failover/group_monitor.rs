use crate::ids::{InstanceId, TargetId};
use crate::replication::{GroupMembers, GroupView, ServerReport};
use crate::units::{LeaderTerm, MonotonicTime};

use super::primary_diagnosis::current_primary;
use super::{FailoverCause, FailoverSettings, PrimaryDiagnosis, PrimaryWatch};

/// What is known of a group's servers, and whether its primary is at work.
#[derive(Clone, Debug)]
pub(super) struct GroupMonitor {
    view: GroupView,
    watch: Option<PrimaryWatch>,
    diagnosis: PrimaryDiagnosis,
}

impl GroupMonitor {
    /// Makes the monitor of a group that has not reported yet.
    pub(super) fn new(members: GroupMembers) -> Self {
        Self {
            view: GroupView::new(members),
            watch: None,
            diagnosis: PrimaryDiagnosis::default(),
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

    /// Returns when the primary last answered here.
    pub(super) fn last_heard_at(&self) -> Option<MonotonicTime> {
        self.watch.as_ref().map(PrimaryWatch::heard_at)
    }

    /// Returns whether a cause for a new term is seen.
    pub(super) fn is_suspecting(&self) -> bool {
        self.diagnosis.is_suspecting()
    }

    /// Takes in a report and returns the primary and its term if they are new.
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

    /// Notes that a server's host refused a connection.
    pub(super) fn note_refusal(&mut self, target: &TargetId, now: MonotonicTime) {
        if let Some(watch) = &mut self.watch {
            watch.note_refusal(target, now);
        }
    }

    /// Notes whether another instance heard a server.
    pub(super) fn note_peer(
        &mut self,
        observer: InstanceId,
        target: &TargetId,
        answered: bool,
        now: MonotonicTime,
    ) {
        let watch = self.watch.as_mut();
        if let Some(watch) = watch.filter(|watch| watch.target == *target) {
            watch.note_peer(observer, answered, now);
        }
    }

    /// Observes silence anew, after this process was paused.
    pub(super) fn restart(&mut self, now: MonotonicTime) {
        self.diagnosis.restart();
        if let Some(watch) = &mut self.watch {
            watch.restart(now);
        }
    }

    /// Looks for a cause anew, after an attempt has ended.
    pub(super) fn restart_diagnosis(&mut self) {
        self.diagnosis.restart();
    }

    /// Returns the cause for a new term, if there is one, and the time at which
    /// it was first seen.
    pub(super) fn diagnose(
        &mut self,
        settings: &FailoverSettings,
        now: MonotonicTime,
    ) -> Option<(FailoverCause, MonotonicTime)> {
        self.diagnosis
            .update(&self.view, self.watch.as_ref(), settings, now)
    }
}
