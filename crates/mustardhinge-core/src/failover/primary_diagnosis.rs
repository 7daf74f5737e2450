use std::time::Duration;

use crate::replication::{GroupView, TimedReport};
use crate::units::MonotonicTime;

use super::delay_discount::DelayDiscount;
use super::{FailoverCause, FailoverSettings, PrimaryWatch};

/// Detects conditions that require a new term and records when they started.
#[derive(Clone, Debug, Default)]
pub(super) struct PrimaryDiagnosis {
    suspected: Option<(FailoverCause, MonotonicTime)>,
    missing_since: Option<MonotonicTime>,
    missing_discount: DelayDiscount,
    stranded_since: Option<MonotonicTime>,
    leaving_since: Option<MonotonicTime>,
}

impl PrimaryDiagnosis {
    /// Returns the cause for a new term, if any, and when it was first detected.
    pub(super) fn update(
        &mut self,
        view: &GroupView,
        watch: Option<&PrimaryWatch>,
        settings: &FailoverSettings,
        now: MonotonicTime,
    ) -> Option<(FailoverCause, MonotonicTime)> {
        let cause = self.fault(view, watch, settings, now);
        let cause = cause.or_else(|| self.repair(view, settings, now));
        self.suspected = cause.map(|cause| match self.suspected {
            Some((before, since)) if before == cause => (cause, since),
            _ => (cause, now),
        });
        self.suspected
    }

    /// Clears all conditions after a pause, a change of primary or an attempt.
    pub(super) fn restart(&mut self) {
        *self = Self::default();
    }

    /// Leaves a delay of this process out of the time without a primary, up to `limit` in total.
    pub(super) fn discount_delay(&mut self, delay: Duration, limit: Duration) {
        if let Some(since) = &mut self.missing_since {
            *since = *since + self.missing_discount.take(delay, limit);
        }
    }

    /// Returns whether there is a cause for a new term.
    pub(super) fn is_suspecting(&self) -> bool {
        self.suspected.is_some()
    }

    /// Records whether the primary is leaving and another server can take over.
    pub(super) fn record_leaving(&mut self, is_leaving: bool, now: MonotonicTime) {
        track_duration(&mut self.leaving_since, is_leaving, now);
    }

    /// Returns the fault that leaves the group without a working primary.
    fn fault(
        &mut self,
        view: &GroupView,
        watch: Option<&PrimaryWatch>,
        settings: &FailoverSettings,
        now: MonotonicTime,
    ) -> Option<FailoverCause> {
        let is_missing = current_primary(view).is_none();
        let limit = settings.get_unresponsive_limit();
        let is_lost = is_missing && !view.has_unreported_primary(now, limit);
        let missing = track_duration(&mut self.missing_since, is_lost, now);
        if !is_lost {
            self.missing_discount = DelayDiscount::default();
        }
        if !has_majority_reported(view, limit, now) {
            return None;
        }
        if missing > limit {
            return Some(FailoverCause::NoPrimary);
        }
        let watch = watch.filter(|_| !is_missing)?;
        if watch.is_unresponsive(settings, now) {
            return Some(FailoverCause::PrimarySilent);
        }
        let is_stalled = watch.is_stalled(settings, now);
        is_stalled.then_some(FailoverCause::ReplicationStalled)
    }

    /// Returns the cause for a new term while the primary works.
    fn repair(
        &mut self,
        view: &GroupView,
        settings: &FailoverSettings,
        now: MonotonicTime,
    ) -> Option<FailoverCause> {
        let primary = current_primary(view);
        let is_stranded = primary.is_some_and(|timed| view.greatest_term() > timed.report.term);
        let stranded = track_duration(&mut self.stranded_since, is_stranded, now);
        let limit = settings.get_repair_limit();
        let has_majority_reported =
            has_majority_reported(view, settings.get_unresponsive_limit(), now);
        primary.filter(|_| has_majority_reported)?;
        if stranded > limit {
            return Some(FailoverCause::ServerStranded);
        }
        let leaving_since = self.leaving_since?;
        let leaving = now.saturating_since(leaving_since);
        (leaving > limit).then_some(FailoverCause::PrimaryLeaving)
    }
}

/// Returns the report of the primary if a majority can still follow its term.
pub(super) fn current_primary(view: &GroupView) -> Option<&TimedReport> {
    let primary = view.primary()?;
    (!view.is_superseded(primary.report.term)).then_some(primary)
}

/// Updates since when a condition holds and returns how long it has held.
fn track_duration(since: &mut Option<MonotonicTime>, holds: bool, now: MonotonicTime) -> Duration {
    *since = holds.then(|| since.unwrap_or(now));
    since.map_or(Duration::ZERO, |since| now.saturating_since(since))
}

/// Returns whether a majority of the servers has reported within `limit`.
fn has_majority_reported(view: &GroupView, limit: Duration, now: MonotonicTime) -> bool {
    let members = view.members();
    let reported = members
        .iter()
        .filter(|target| view.has_reported(target, now, limit));
    reported.count() >= members.majority()
}
