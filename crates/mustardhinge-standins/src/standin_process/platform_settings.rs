use std::net::SocketAddr;

use serde::Deserialize;

use super::InstanceSettings;

/// The settings of a platform process.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where its control port is; none without fault switches.
    pub control: Option<SocketAddr>,
    /// How long the list of instances lags, in milliseconds.
    #[serde(default)]
    pub instance_lag_ms: u32,
    /// The log level, `error` to `trace`.
    #[serde(default = "super::process_frame::default_log_level")]
    pub log_level: String,
    /// The instances at the start.
    #[serde(default, rename = "instance")]
    pub instances: Vec<InstanceSettings>,
}
