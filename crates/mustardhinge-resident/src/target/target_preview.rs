//! What would happen to a statement at a target, without any effect.

use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_core::queue::{PriorityWaits, ReportDecision};

use super::{ConnectionRequest, LinkAdmission, TargetHandle};

impl TargetHandle {
    /// Returns what [`acquire_lease`](Self::acquire_lease) would do at `now`.
    pub(crate) fn preview_lease(
        &self,
        request: &ConnectionRequest,
        now: MonotonicTime,
    ) -> LinkAdmission {
        let can_start =
            self.queue.has_free_slot(now) && self.connections.can_lease(&request.customer, now);
        if self.queue.is_empty() && can_start {
            return LinkAdmission::Run;
        }
        let has_idle = request.weight.is_some() && self.has_idle(request);
        match self.queue.preview(request, has_idle, now) {
            Ok(wait) => LinkAdmission::Wait(wait),
            Err(retry_after) => LinkAdmission::Refuse(retry_after),
        }
    }

    /// Returns what [`admit_by_report`](Self::admit_by_report) would decide at `now`.
    pub(crate) fn preview_report(
        &self,
        request: &ConnectionRequest,
        now: MonotonicTime,
    ) -> LinkAdmission {
        if request.weight.is_none() {
            return LinkAdmission::Run;
        }
        let gate = self.report_gate.get();
        match gate.decide(request.priority, request.max_expected_wait(), now) {
            ReportDecision::Forward | ReportDecision::Probe => LinkAdmission::Run,
            ReportDecision::Refuse(wait) => LinkAdmission::Refuse(wait),
        }
    }

    /// Returns the waits by priority that the gateway reported last, and their age.
    pub(crate) fn reported_waits(&self, now: MonotonicTime) -> Option<(PriorityWaits, Duration)> {
        self.report_gate.get().report(now)
    }

    /// Returns the expected waits by priority in this instance's own queue.
    pub(crate) fn own_waits(&self, now: MonotonicTime) -> PriorityWaits {
        self.queue.reported_waits(now)
    }

    /// Returns the age of the last load report of the gateway.
    pub(crate) fn load_report_age(&self, now: MonotonicTime) -> Option<Duration> {
        let (_, at) = self.gateway_load.get()?;
        Some(now.saturating_since(at))
    }
}
