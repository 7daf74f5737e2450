use std::time::Duration;

use super::LoadEstimate;
use crate::units::MonotonicTime;

/// Maximum age of a load report; a few service times.
const REPORT_MAX_AGE: Duration = Duration::from_millis(250);
/// Weight of a new interval between reports in the moving average, in eighths.
const NEW_INTERVAL_EIGHTHS: u32 = 1;
/// A target is silent if it sends no response for this many expected response times.
const SILENT_RESPONSE_TIMES: u32 = 3;
/// Minimum time without a response before a target is silent. It covers the hop to a gateway in
/// another availability zone and pauses of a process with a small part of a core.
const MIN_SILENCE: Duration = Duration::from_millis(60);

/// A received load report.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    statements: usize,
    /// This instance's unanswered statements when the report was received.
    unanswered: usize,
    received_at: MonotonicTime,
}

/// The load of one target, as known to one instance: the last report of the target's gateway, and
/// the statements that this instance has sent there and that are unanswered.
///
/// Load pattern: each response carries a report, and all instances send to the same targets. A
/// report is outdated by what other instances have sent since, and a target that has stopped
/// responding keeps its last, favorable report.
#[derive(Clone, Copy, Debug)]
pub struct TargetLoad {
    report: Option<LoadReport>,
    /// Moving average of the time between reports.
    report_interval: Duration,
    unanswered: usize,
    /// Since when responses are owed: the last response or the first unanswered statement.
    waiting_since: Option<MonotonicTime>,
}

impl Default for TargetLoad {
    fn default() -> Self {
        Self {
            report: None,
            report_interval: REPORT_MAX_AGE,
            unanswered: 0,
            waiting_since: None,
        }
    }
}

impl TargetLoad {
    /// Records that a statement was sent to the target.
    pub fn record_sent(&mut self, now: MonotonicTime) {
        self.unanswered += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Records the report that came with a response, after the end of the answered statement. The
    /// newest report replaces earlier ones, whichever process sent them.
    pub fn record_report(&mut self, statements: usize, now: MonotonicTime) {
        let interval = self.report.map_or(REPORT_MAX_AGE, |report| {
            let interval = now.saturating_since(report.received_at);
            interval.min(REPORT_MAX_AGE)
        });
        let known = self.report_interval * (8 - NEW_INTERVAL_EIGHTHS);
        self.report_interval = (known + interval * NEW_INTERVAL_EIGHTHS) / 8;
        self.report = Some(LoadReport {
            statements,
            unanswered: self.unanswered,
            received_at: now,
        });
        self.waiting_since = (self.unanswered > 0).then_some(now);
    }

    /// Records that a statement is no longer waited for, with or without a response.
    pub const fn record_ended(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
        if self.unanswered == 0 {
            self.waiting_since = None;
        }
    }

    /// Returns the number of statements that were sent and have not ended.
    #[must_use]
    pub const fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Returns the expected load of a target that runs `slots` statements concurrently, each for
    /// `latency`.
    #[must_use]
    pub fn estimate(&self, slots: usize, latency: Duration, now: MonotonicTime) -> LoadEstimate {
        let report = self.report.map(|report| {
            let age = now.saturating_since(report.received_at);
            (report, age)
        });
        let report = report.filter(|(_, age)| *age < REPORT_MAX_AGE);
        let (reported, age) = report.map_or((0, REPORT_MAX_AGE), |(report, age)| {
            let statements = report.statements + self.unanswered;
            let age = age.max(self.report_interval);
            (statements.saturating_sub(report.unanswered), age)
        });
        let known = reported.max(self.unanswered);
        let silence = self
            .waiting_since
            .map_or(Duration::ZERO, |since| now.saturating_since(since));
        let slots = slots.max(1);
        let response_time = latency.mul_f64(1.0 + known as f64 / slots as f64);
        let is_overdue = silence > (response_time * SILENT_RESPONSE_TIMES).max(MIN_SILENCE);
        // Without a report, a queue of other instances' statements explains a longer wait.
        let is_silent = is_overdue && (report.is_some() || silence >= REPORT_MAX_AGE);
        let statements = if is_overdue {
            // The statements that a target of this speed would have completed in the meantime.
            let latency = latency.max(Duration::from_millis(1));
            known.max((silence.as_secs_f64() / latency.as_secs_f64() * slots as f64) as usize)
        } else {
            known
        };
        LoadEstimate {
            statements,
            age,
            is_silent,
        }
    }
}
