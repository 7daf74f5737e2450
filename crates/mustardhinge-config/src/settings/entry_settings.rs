use std::net::SocketAddr;
use std::path::Path;

use mustardhinge_core::prelude::*;

use super::settings_file::load_settings;
use super::{TlsFiles, check_address};
use crate::finding::Findings;
use crate::reader::{ReadContext, TableReader};

const ADDRESS_ADVICE: &str = "give an IP number and a port, such as 10.0.1.7:5432";
const ID_ADVICE: &str = "give letters, digits, '-', '_', '.' or ':'";

const DEFAULT_LOG_LEVEL: &str = "info";
const DEFAULT_DRAIN_BOUND_MS: u32 = 30_000;
const DEFAULT_STARTUP_TIMEOUT_MS: u32 = 5_000;
const DEFAULT_MAX_CALLERS: u32 = 10_000;
const DEFAULT_TRAFFIC_THREADS: u32 = 2;

/// The settings of an entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// The instance it runs on.
    pub instance: InstanceId,
    /// The availability zone of the instance.
    pub zone: ZoneId,
    /// Where it listens for callers.
    pub listen: SocketAddr,
    /// Where it serves its metrics; none if they are not served.
    pub metrics: Option<SocketAddr>,
    /// Where the agent of the instance listens.
    pub agent: SocketAddr,
    /// The log level, `error` to `trace`.
    pub log_level: String,
    /// The time that a planned stop may take, in milliseconds.
    pub drain_bound_ms: u32,
    /// The time that a caller may take to start a session, in milliseconds.
    pub startup_timeout_ms: u32,
    /// The greatest number of callers connected at once.
    pub max_callers: u32,
    /// The number of threads that carry traffic.
    pub traffic_threads: u32,
    /// The files for TLS towards callers; none for plain TCP.
    pub tls: Option<TlsFiles>,
}

impl EntrySettings {
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
        let metrics = reader.optional_text("metrics", ADDRESS_ADVICE);
        let agent = reader.text("agent", ADDRESS_ADVICE);
        if let Some(agent) = agent {
            check_address(reader, "agent", agent);
        }
        let log_level = read_log_level(reader);
        let drain_bound_ms = reader.number("drain_bound_ms", 100..=600_000, DEFAULT_DRAIN_BOUND_MS);
        let startup_timeout_ms = reader.number(
            "startup_timeout_ms",
            100..=60_000,
            DEFAULT_STARTUP_TIMEOUT_MS,
        );
        let max_callers = reader.number("max_callers", 1..=100_000, DEFAULT_MAX_CALLERS);
        let traffic_threads = reader.number("traffic_threads", 1..=256, DEFAULT_TRAFFIC_THREADS);
        let tls = reader.table("tls", TlsFiles::read);
        Some(Self {
            instance: instance?,
            zone: zone?,
            listen: listen?,
            metrics,
            agent: agent?,
            log_level,
            drain_bound_ms,
            startup_timeout_ms,
            max_callers,
            traffic_threads,
            tls,
        })
    }
}

/// Reads the log level that both processes have.
pub(crate) fn read_log_level(reader: &mut TableReader<'_>) -> String {
    const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
    let advice = "give error, warn, info, debug or trace";
    let level: Option<String> = reader.optional_text("log_level", advice);
    let level = level.unwrap_or_else(|| DEFAULT_LOG_LEVEL.to_owned());
    if !LEVELS.contains(&level.as_str()) {
        reader.report("log_level", format!("{level:?} is no level"), advice);
    }
    level
}
