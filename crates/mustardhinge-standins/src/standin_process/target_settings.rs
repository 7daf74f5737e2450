use std::net::SocketAddr;

use serde::Deserialize;

/// The settings of a target process.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetProcessSettings {
    /// The name of the target.
    pub name: String,
    /// Where it listens for callers and replicas.
    pub listen: SocketAddr,
    /// Where its control port is; none without fault switches.
    pub control: Option<SocketAddr>,
    /// Statements that it works on at once.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Connections that it takes.
    #[serde(default = "default_connection_limit")]
    pub connection_limit: usize,
    /// The time to open a connection, in milliseconds.
    #[serde(default = "default_connection_delay_ms")]
    pub connection_delay_ms: u64,
    /// The time that each statement takes in its slot, in milliseconds.
    #[serde(default)]
    pub statement_time_ms: u64,
    /// The log level, `error` to `trace`.
    #[serde(default = "super::process_frame::default_log_level")]
    pub log_level: String,
    /// The primary at the start; none if the group is promoted later.
    pub initial: Option<InitialPrimary>,
}

/// The primary that a group starts with.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InitialPrimary {
    /// Its term.
    pub term: u64,
    /// Its name; this target is promoted if it is its own.
    pub primary: String,
    /// Where it listens.
    pub address: SocketAddr,
}

const fn default_slots() -> usize {
    5
}

const fn default_connection_limit() -> usize {
    30
}

const fn default_connection_delay_ms() -> u64 {
    10
}
