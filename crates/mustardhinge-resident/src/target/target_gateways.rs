//! What a target's handle knows of its gateways.

use std::time::Duration;

use mustardhinge_core::gateway::GatewayPair;
use mustardhinge_core::prelude::MonotonicTime;

use super::TargetHandle;
use crate::gateway::GatewayLoad;

/// What a gateway told of a target's load counts for this long: a few service times.
const LOAD_MAX_AGE: Duration = Duration::from_millis(250);
impl TargetHandle {
    /// Returns how many statements it works on or wait for it, as far as is known here.
    #[must_use]
    pub fn estimated_load(&self, now: MonotonicTime) -> usize {
        let reported = self.gateway_load(now);
        let reported = reported.map_or(0, |load| load.statements as usize);
        self.load().max(reported)
    }

    /// Returns what its gateway told of late.
    pub(super) fn gateway_load(&self, now: MonotonicTime) -> Option<GatewayLoad> {
        let (load, at) = self.gateway_load.get()?;
        (now.saturating_since(at) < LOAD_MAX_AGE).then_some(load)
    }

    /// Takes what its gateway told.
    pub fn record_gateway_load(&self, load: GatewayLoad, now: MonotonicTime) {
        self.gateway_load.set(Some((load, now)));
    }

    /// Returns how busy it is, for those that forward here.
    #[must_use]
    pub fn local_load(&self, now: MonotonicTime) -> GatewayLoad {
        GatewayLoad::new(self.queue.load(), self.latency.get().usual(now))
    }

    /// Returns its gateways; none if each instance connects to it itself.
    #[must_use]
    pub const fn gateways(&self) -> Option<GatewayPair> {
        self.gateways.get()
    }

    /// Sets its gateways.
    pub fn set_gateways(&self, gateways: Option<GatewayPair>) {
        self.gateways.set(gateways);
    }

    /// Counts a place through its gateway as taken.
    pub(super) fn begin_forward(&self) {
        self.forwarded.set(self.forwarded.get() + 1);
    }

    /// Counts such a place as free.
    pub(super) fn end_forward(&self) {
        self.forwarded.set(self.forwarded.get().saturating_sub(1));
    }
}
