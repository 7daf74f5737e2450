use std::net::SocketAddr;
use std::path::Path;

use mustardhinge_core::prelude::*;

use super::entry_settings::read_log_level;
use super::settings_file::load_settings;
use super::{BudgetPolicy, check_address};
use crate::finding::Findings;
use crate::reader::{ReadContext, TableReader};

const ADDRESS_ADVICE: &str = "give an IP number and a port, such as 10.0.1.7:7000";
const ID_ADVICE: &str = "give letters, digits, '-', '_', '.' or ':'";

const DEFAULT_ZONE_COUNT: u32 = 3;
const DEFAULT_DRAIN_BOUND_MS: u32 = 30_000;
const DEFAULT_PROBE_INTERVAL_MS: u32 = 100;
const DEFAULT_PROBE_TIMEOUT_MS: u32 = 250;
const DEFAULT_PLATFORM_TIMEOUT_MS: u32 = 1_000;
const DEFAULT_PEER_INTERVAL_MS: u32 = 500;

/// The settings of an agent process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// The instance it runs on.
    pub instance: InstanceId,
    /// The availability zone of the instance.
    pub zone: ZoneId,
    /// Where it listens for the entry and for other agents.
    pub listen: SocketAddr,
    /// Where it serves the operator API.
    pub operator: SocketAddr,
    /// Where it serves its metrics; none if they are not served.
    pub metrics: Option<SocketAddr>,
    /// The number of availability zones of the fleet, over which majorities of
    /// zones are counted.
    pub zone_count: u32,
    /// Where the platform's object API is.
    pub platform: SocketAddr,
    /// Agents to start from while the platform is out.
    pub peers: Vec<SocketAddr>,
    /// The log level, `error` to `trace`.
    pub log_level: String,
    /// The time that a planned stop may take, in milliseconds.
    pub drain_bound_ms: u32,
    /// The time between two probes of a target, in milliseconds.
    pub probe_interval_ms: u32,
    /// The time after which a target counts as silent, in milliseconds.
    pub probe_timeout_ms: u32,
    /// The time after which a call of the platform is given up, in milliseconds.
    pub platform_timeout_ms: u32,
    /// The longest time between two exchanges with another agent, in
    /// milliseconds.
    pub peer_interval_ms: u32,
    /// How customers' rates are divided over the instances.
    pub budget_policy: BudgetPolicy,
}

impl AgentSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails with all findings.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        load_settings(path, Self::read)
    }

    /// Checks settings given as text.
    ///
    /// # Errors
    ///
    /// Fails with all findings.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        ReadContext::read_text(None, text, Self::read)
    }

    fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let instance = reader.text("instance", ID_ADVICE);
        let zone = reader.text("zone", ID_ADVICE);
        let listen = reader.text("listen", ADDRESS_ADVICE);
        let operator = reader.text("operator", ADDRESS_ADVICE);
        let metrics = reader.optional_text("metrics", ADDRESS_ADVICE);
        let zone_count = reader.number("zone_count", 1..=1_000, DEFAULT_ZONE_COUNT);
        let platform = read_platform(reader);
        let peers = read_peers(reader);
        let log_level = read_log_level(reader);
        let policy_advice = "give escrow or static-shares";
        let budget_policy = reader.optional_text("budget_policy", policy_advice);
        let waits = read_waits(reader);
        Some(Self {
            instance: instance?,
            zone: zone?,
            listen: listen?,
            operator: operator?,
            metrics,
            zone_count,
            platform: platform?,
            peers,
            log_level,
            drain_bound_ms: waits.drain_bound_ms,
            probe_interval_ms: waits.probe_interval_ms,
            probe_timeout_ms: waits.probe_timeout_ms,
            platform_timeout_ms: waits.platform_timeout_ms,
            peer_interval_ms: waits.peer_interval_ms,
            budget_policy: budget_policy.unwrap_or_default(),
        })
    }
}

struct WaitSettings {
    drain_bound_ms: u32,
    probe_interval_ms: u32,
    probe_timeout_ms: u32,
    platform_timeout_ms: u32,
    peer_interval_ms: u32,
}

fn read_waits(reader: &mut TableReader<'_>) -> WaitSettings {
    let mut number = |key, range, default| reader.number(key, range, default);
    WaitSettings {
        drain_bound_ms: number("drain_bound_ms", 100..=600_000, DEFAULT_DRAIN_BOUND_MS),
        probe_interval_ms: number("probe_interval_ms", 10..=10_000, DEFAULT_PROBE_INTERVAL_MS),
        probe_timeout_ms: number("probe_timeout_ms", 10..=10_000, DEFAULT_PROBE_TIMEOUT_MS),
        platform_timeout_ms: number(
            "platform_timeout_ms",
            10..=60_000,
            DEFAULT_PLATFORM_TIMEOUT_MS,
        ),
        peer_interval_ms: number("peer_interval_ms", 10..=10_000, DEFAULT_PEER_INTERVAL_MS),
    }
}

fn read_platform(reader: &mut TableReader<'_>) -> Option<SocketAddr> {
    let platform = reader.text("platform", ADDRESS_ADVICE)?;
    check_address(reader, "platform", platform);
    Some(platform)
}

fn read_peers(reader: &mut TableReader<'_>) -> Vec<SocketAddr> {
    let peers: Vec<SocketAddr> = reader.texts("peers", ADDRESS_ADVICE);
    for (index, peer) in peers.iter().enumerate() {
        check_address(reader, &format!("peers[{index}]"), *peer);
    }
    peers
}
