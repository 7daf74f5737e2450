use std::net::SocketAddr;
use std::time::Duration;

use mustardhinge_core::placement::ZoneRegions;
use mustardhinge_core::prelude::{InstanceId, ZoneId};

use super::NodeLimits;

/// CPU capacity of an instance without a setting for it, in hundredths of a core. Without
/// settings, all instances have the same weight.
const DEFAULT_CPU_CENTICORES: u16 = 100;

/// Startup settings of an instance.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address where callers connect.
    pub caller_address: SocketAddr,
    /// Address for messages of other instances (UDP) and for the configuration relay (TCP).
    pub peer_address: SocketAddr,
    /// Peer addresses of some other instances, for the first contact. Some may no longer exist.
    pub seed_addresses: Vec<SocketAddr>,
    /// CPU capacity in hundredths of a core, the weight of its share of the gateway work.
    pub cpu_centicores: u16,
    /// Whether the settings request overload control.
    pub requests_overload_control: bool,
    /// Whether the platform's store may ask for the evacuation of zones.
    pub follows_evacuations: bool,
    /// All availability zones of the deployment.
    pub zones: Vec<ZoneId>,
    /// The regions of the availability zones.
    pub zone_regions: ZoneRegions,
    /// Limits that can change at run time.
    pub limits: NodeLimits,
}

/// Builds [`NodeSettings`].
#[derive(Clone, Debug)]
#[must_use]
pub struct NodeSettingsBuilder {
    settings: NodeSettings,
}

impl NodeSettingsBuilder {
    /// Creates a builder from the settings without a default.
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
                requests_overload_control: false,
                follows_evacuations: false,
                zones: Vec::new(),
                zone_regions: ZoneRegions::default(),
                limits: NodeLimits::default(),
            },
        }
    }

    /// Sets the peer addresses for the first contact.
    pub fn seed_addresses(mut self, seed_addresses: Vec<SocketAddr>) -> Self {
        self.settings.seed_addresses = seed_addresses;
        self
    }

    /// Sets the CPU capacity in hundredths of a core.
    pub const fn cpu_centicores(mut self, cpu_centicores: u16) -> Self {
        self.settings.cpu_centicores = cpu_centicores;
        self
    }

    /// Requests overload control, or leaves the decision to the zones of the targets.
    pub const fn request_overload_control(mut self, is_requested: bool) -> Self {
        self.settings.requests_overload_control = is_requested;
        self
    }

    /// Makes the instance read and watch evacuations of zones.
    pub const fn follow_evacuations(mut self, is_followed: bool) -> Self {
        self.settings.follows_evacuations = is_followed;
        self
    }

    /// Sets all availability zones of the deployment.
    pub fn zones(mut self, zones: Vec<ZoneId>) -> Self {
        self.settings.zones = zones;
        self
    }

    /// Sets the regions of the availability zones.
    pub fn zone_regions(mut self, zone_regions: ZoneRegions) -> Self {
        self.settings.zone_regions = zone_regions;
        self
    }

    /// Sets the maximum number of concurrent caller sessions.
    pub const fn max_callers(mut self, max_callers: usize) -> Self {
        self.settings.limits.max_callers = max_callers;
        self
    }

    /// Sets the time limit of a planned stop.
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
