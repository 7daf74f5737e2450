use std::time::Duration;

use super::{PriorityWaits, ReportDecision};
use crate::units::{MonotonicTime, RoutePriority};

/// Maximum age of a report. An older one says little about a queue that drains in as much time.
const REPORT_MAX_AGE: Duration = Duration::from_millis(250);
/// Interval at which one statement is let through, so that its answer replaces the report.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Decides from the last report of a target's gateway whether a statement would wait too long
/// there, so that it is refused without being forwarded.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use mustardhinge_core::prelude::{MonotonicTime, RoutePriority};
/// use mustardhinge_core::queue::{PriorityWaits, ReportGate};
///
/// let now = MonotonicTime::from_millis(1_000);
/// let max_wait = Duration::from_millis(150);
/// let mut gate = ReportGate::default();
/// gate.record(PriorityWaits::new([Duration::from_millis(400); 3]), now);
/// // The first statement is let through to renew the report.
/// assert!(gate.admit(RoutePriority::HIGHEST, max_wait, now).is_ok());
/// assert!(gate.admit(RoutePriority::HIGHEST, max_wait, now).is_err());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportGate {
    report: Option<(PriorityWaits, MonotonicTime)>,
    probed_at: Option<MonotonicTime>,
}

impl ReportGate {
    /// Records a report that was received at `now`; it replaces the previous one.
    pub const fn record(&mut self, waits: PriorityWaits, now: MonotonicTime) {
        self.report = Some((waits, now));
    }

    /// Decides whether a statement that may wait for `max_wait` is forwarded.
    ///
    /// # Errors
    ///
    /// Returns the reported wait, reduced by the age of the report, if it is longer.
    pub fn admit(
        &mut self,
        priority: RoutePriority,
        max_wait: Duration,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        match self.decide(priority, max_wait, now) {
            ReportDecision::Forward => Ok(()),
            ReportDecision::Probe => {
                self.probed_at = Some(now);
                Ok(())
            }
            ReportDecision::Refuse(wait) => Err(wait),
        }
    }

    /// Returns what [`admit`](Self::admit) decides now, without counting a statement that renews the
    /// report.
    #[must_use]
    pub fn decide(
        &self,
        priority: RoutePriority,
        max_wait: Duration,
        now: MonotonicTime,
    ) -> ReportDecision {
        let Some((waits, at)) = self.report else {
            return ReportDecision::Forward;
        };
        let age = now.saturating_since(at);
        let wait = waits.wait_of(priority).saturating_sub(age);
        if age > REPORT_MAX_AGE || wait <= max_wait {
            return ReportDecision::Forward;
        }
        let is_probe_due = self
            .probed_at
            .is_none_or(|probed_at| now.saturating_since(probed_at) >= PROBE_INTERVAL);
        if is_probe_due {
            ReportDecision::Probe
        } else {
            ReportDecision::Refuse(wait)
        }
    }

    /// Returns the last report and its age.
    #[must_use]
    pub fn report(&self, now: MonotonicTime) -> Option<(PriorityWaits, Duration)> {
        let (waits, at) = self.report?;
        Some((waits, now.saturating_since(at)))
    }
}
