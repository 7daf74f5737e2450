use std::time::Duration;

use crate::replication::{GroupView, TimedReport};
use crate::units::MonotonicTime;

use super::{FailoverCause, FailoverSettings, PrimaryWatch};

/// Whether a group needs a new term, and since when it looks so.
#[derive(Clone, Debug, Default)]
pub(super) struct PrimaryDiagnosis {
    suspected: Option<(FailoverCause, MonotonicTime)>,
    missing_since: Option<MonotonicTime>,
    stranded_since: Option<MonotonicTime>,
}

impl PrimaryDiagnosis {
    /// Looks at the group and returns the cause for a new term, if there is
    /// one, and the time at which it was first seen.
    pub(super) fn update(
        &mut self,
        view: &GroupView,
        watch: Option<&PrimaryWatch>,
        settings: &FailoverSettings,
        now: MonotonicTime,
    ) -> Option<(FailoverCause, MonotonicTime)> {
        let cause = self.cause(view, watch, settings, now);
        self.suspected = cause.map(|cause| match self.suspected {
            Some((before, since)) if before == cause => (cause, since),
            _ => (cause, now),
        });
        self.suspected
    }

    /// Observes everything anew, after a pause or a change of terms.
    pub(super) fn restart(&mut self) {
        *self = Self::default();
    }

    /// Returns whether a cause is seen.
    pub(super) fn is_suspecting(&self) -> bool {
        self.suspected.is_some()
    }

    fn cause(
        &mut self,
        view: &GroupView,
        watch: Option<&PrimaryWatch>,
        settings: &FailoverSettings,
        now: MonotonicTime,
    ) -> Option<FailoverCause> {
        let primary = current_primary(view);
        let is_missing = has_lasted(&mut self.missing_since, primary.is_none(), now);
        let is_stranded = primary.is_some_and(|timed| view.greatest_term() > timed.report.term);
        let is_stranded = has_lasted(&mut self.stranded_since, is_stranded, now);
        if !reaches_majority(view, settings.get_silence_limit(), now) {
            return None;
        }
        if is_missing > settings.get_silence_limit() {
            return Some(FailoverCause::NoPrimary);
        }
        let watch = watch.filter(|_| primary.is_some())?;
        if watch.is_silent(settings, now) {
            return Some(FailoverCause::PrimarySilent);
        }
        if watch.is_stalled(settings, now) {
            return Some(FailoverCause::ReplicationStalled);
        }
        (is_stranded > settings.get_repair_limit()).then_some(FailoverCause::ServerStranded)
    }
}

/// Returns the report of the primary whose term a majority can still follow.
pub(super) fn current_primary(view: &GroupView) -> Option<&TimedReport> {
    let primary = view.primary()?;
    (!view.is_superseded(primary.report.term)).then_some(primary)
}

/// Returns how long a condition has held.
fn has_lasted(since: &mut Option<MonotonicTime>, holds: bool, now: MonotonicTime) -> Duration {
    *since = holds.then(|| since.unwrap_or(now));
    since.map_or(Duration::ZERO, |since| now.saturating_since(since))
}

/// Returns whether a majority of the servers has answered within `limit`.
fn reaches_majority(view: &GroupView, limit: Duration, now: MonotonicTime) -> bool {
    let members = view.members();
    let heard = members
        .iter()
        .filter(|target| !view.is_silent(target, now, limit));
    heard.count() >= members.majority()
}
