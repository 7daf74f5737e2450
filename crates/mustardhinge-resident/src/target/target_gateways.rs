//! The gateways of a target, and the load that they report.

use std::time::Duration;

use mustardhinge_core::gateway::GatewayPair;
use mustardhinge_core::placement::LoadEstimate;
use mustardhinge_core::prelude::MonotonicTime;

use super::queue_metrics::count_refusal;
use super::{ConnectionError, ConnectionRequest, TargetHandle};
use crate::gateway::GatewayLoad;

/// Maximum age of a load report from a gateway; a few service times.
const LOAD_MAX_AGE: Duration = Duration::from_millis(250);
/// Maximum age of the latency and the effective slots in a load report. The speed of a target
/// changes more slowly than its load, and each of 77 instances sends to a target less than once a
/// second.
pub(super) const LATENCY_MAX_AGE: Duration = Duration::from_secs(2);

impl TargetHandle {
    /// Returns an estimate of the statements that run at the target or are queued for it: the load
    /// of this instance or the load reported by the gateway, whichever is greater.
    #[must_use]
    pub fn estimated_load(&self, now: MonotonicTime) -> usize {
        let reported = self.gateway_load(now);
        let reported = reported.map_or(0, |load| load.statements as usize);
        self.load().max(reported)
    }

    /// Returns the last load reported by the gateway, unless it is too old.
    pub(super) fn gateway_load(&self, now: MonotonicTime) -> Option<GatewayLoad> {
        let (load, at) = self.gateway_load.get()?;
        (now.saturating_since(at) < LOAD_MAX_AGE).then_some(load)
    }

    /// Records the load reported by the gateway, after the end of the answered statement.
    pub fn record_gateway_load(&self, load: GatewayLoad, now: MonotonicTime) {
        self.gateway_load.set(Some((load, now)));
        let mut shared_load = self.shared_load.get();
        shared_load.record_report(load.statements as usize, now);
        self.shared_load.set(shared_load);
        let mut gate = self.report_gate.get();
        gate.record(load.waits, now);
        self.report_gate.set(gate);
    }

    /// Decides from the last report of the gateway whether a request is forwarded, under overload
    /// control.
    ///
    /// # Errors
    ///
    /// Returns an error with the reported wait if the request would wait too long at the gateway.
    pub fn admit_by_report(
        &self,
        request: &ConnectionRequest,
        now: MonotonicTime,
    ) -> Result<(), ConnectionError> {
        if request.weight.is_none() {
            return Ok(());
        }
        let mut gate = self.report_gate.get();
        let admitted = gate.admit(request.priority, request.max_expected_wait(), now);
        self.report_gate.set(gate);
        admitted.map_err(|wait| {
            count_refusal(request, "reported");
            ConnectionError::Full(wait)
        })
    }

    /// Returns the expected load of all instances, for the placement of reads.
    ///
    /// `is_gateway` is whether this instance is the target's gateway, whose own queue holds the
    /// statements of all instances.
    #[must_use]
    pub fn shared_load(&self, is_gateway: bool, now: MonotonicTime) -> LoadEstimate {
        let queued = self.queue.load();
        if is_gateway {
            return LoadEstimate {
                statements: queued,
                ..LoadEstimate::default()
            };
        }
        let latency = self.shared_latency(now);
        let estimate = self
            .shared_load
            .get()
            .estimate(self.shared_slots(now), latency, now);
        LoadEstimate {
            statements: estimate.statements + queued,
            ..estimate
        }
    }

    /// Returns the load at this instance, as reported to the instances that forward to it.
    #[must_use]
    pub fn local_load(&self, now: MonotonicTime) -> GatewayLoad {
        GatewayLoad::new(self.queue.load(), self.latency.get().typical(now))
            .waits(self.queue.reported_waits(now))
            .slots(self.queue.effective_slots(now))
    }

    /// Returns the typical latency for the placement of reads.
    #[must_use]
    pub fn shared_latency(&self, now: MonotonicTime) -> Duration {
        match self.gateway_load.get() {
            Some((load, at)) if now.saturating_since(at) < LATENCY_MAX_AGE => {
                load.typical_latency()
            }
            _ => self.latency.get().typical(now),
        }
    }

    /// Returns the target's gateways, or `None` if every instance connects to it directly.
    #[must_use]
    pub const fn gateways(&self) -> Option<GatewayPair> {
        self.gateways.get()
    }

    /// Sets the target's gateways.
    pub fn set_gateways(&self, gateways: Option<GatewayPair>) {
        self.gateways.set(gateways);
    }

    /// Counts a new lease that forwards through the gateway.
    pub(super) fn begin_forward(&self) {
        self.forwarded.set(self.forwarded.get() + 1);
    }

    /// Counts the end of a lease that forwards through the gateway.
    pub(super) fn end_forward(&self) {
        self.forwarded.set(self.forwarded.get().saturating_sub(1));
    }
}
