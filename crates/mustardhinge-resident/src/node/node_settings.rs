use std::net::SocketAddr;
use std::time::Duration;

use mustardhinge_core::prelude::{InstanceId, ZoneId};

use super::NodeLimits;

/// The processor of an instance that is told nothing of it, in hundredths of a core: all weigh
/// the same.
const DEFAULT_CPU_CENTICORES: u16 = 100;

/// What one instance is told at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it takes callers.
    pub caller_address: SocketAddr,
    /// Where it takes messages of other instances, and passes on configurations.
    pub peer_address: SocketAddr,
    /// Where other instances may take messages; some may be gone.
    pub seed_addresses: Vec<SocketAddr>,
    /// Its processor in hundredths of a core, which weighs its share of a gateway's work.
    pub cpu_centicores: u16,
    /// What may change while it runs.
    pub limits: NodeLimits,
}

/// Builds [`NodeSettings`].
#[derive(Clone, Debug)]
#[must_use]
pub struct NodeSettingsBuilder {
    settings: NodeSettings,
}

impl NodeSettingsBuilder {
    /// Starts with what has no default.
    pub fn new(
        instance: InstanceId,
        zone: ZoneId,
        caller_address: SocketAddr,
        peer_address: SocketAddr,
    ) -> Self {
        Self {
            settings: NodeSettings {
                instance,
                zone,
                caller_address,
                peer_address,
                seed_addresses: Vec::new(),
                cpu_centicores: DEFAULT_CPU_CENTICORES,
                limits: NodeLimits::default(),
            },
        }
    }

    /// Sets where other instances may take messages.
    pub fn seed_addresses(mut self, seed_addresses: Vec<SocketAddr>) -> Self {
        self.settings.seed_addresses = seed_addresses;
        self
    }

    /// Sets its processor in hundredths of a core.
    pub const fn cpu_centicores(mut self, cpu_centicores: u16) -> Self {
        self.settings.cpu_centicores = cpu_centicores;
        self
    }

    /// Sets the most callers at once.
    pub const fn max_callers(mut self, max_callers: usize) -> Self {
        self.settings.limits.max_callers = max_callers;
        self
    }

    /// Sets how long a planned stop may take.
    pub const fn stop_grace(mut self, stop_grace: Duration) -> Self {
        self.settings.limits.stop_grace = stop_grace;
        self
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> NodeSettings {
        self.settings
    }
}
