use std::time::Duration;

use mustardhinge_core::queue::PriorityWaits;
use serde::{Deserialize, Serialize};

/// Load of a target, as measured by its gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayLoad {
    /// Number of statements that run at the target or are queued for it at the gateway.
    pub statements: u32,
    /// Typical latency of the target, in microseconds.
    #[serde(rename = "usual")]
    pub typical_latency_us: u32,
    /// Expected wait of an arrival at the gateway's queue, by priority.
    pub waits: PriorityWaits,
    /// Effective slots of the target; 0 if they aren't known.
    pub slots: u16,
}

impl GatewayLoad {
    /// Creates the load of a target.
    #[must_use]
    pub fn new(statements: usize, typical_latency: Duration) -> Self {
        Self {
            statements: u32::try_from(statements).unwrap_or(u32::MAX),
            typical_latency_us: u32::try_from(typical_latency.as_micros()).unwrap_or(u32::MAX),
            waits: PriorityWaits::default(),
            slots: 0,
        }
    }

    /// Sets the expected wait of an arrival, by priority.
    #[must_use]
    pub const fn waits(mut self, waits: PriorityWaits) -> Self {
        self.waits = waits;
        self
    }

    /// Sets the effective number of slots.
    #[must_use]
    pub fn slots(mut self, slots: usize) -> Self {
        self.slots = u16::try_from(slots).unwrap_or(u16::MAX);
        self
    }

    /// Returns the typical latency of the target.
    #[must_use]
    pub const fn typical_latency(&self) -> Duration {
        Duration::from_micros(self.typical_latency_us as u64)
    }
}
