use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How busy a target is, as its gateway sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayLoad {
    /// Statements that it works on, or that wait for it at the gateway.
    pub statements: u32,
    /// Its usual service time in microseconds.
    #[serde(rename = "usual")]
    pub typical_latency_us: u32,
}

impl GatewayLoad {
    /// Makes the load of a target.
    #[must_use]
    pub fn new(statements: usize, typical_latency: Duration) -> Self {
        Self {
            statements: u32::try_from(statements).unwrap_or(u32::MAX),
            typical_latency_us: u32::try_from(typical_latency.as_micros()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the usual service time.
    #[must_use]
    pub const fn typical_latency(&self) -> Duration {
        Duration::from_micros(self.typical_latency_us as u64)
    }
}
