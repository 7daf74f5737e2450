use std::time::Duration;

use anyhow::Context;

/// The size of a page of memory, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// The clock ticks in a second of processor time.
const TICKS_PER_SECOND: u64 = 100;

/// The fields before the user time in `/proc/<pid>/stat`, after the name.
const FIELDS_BEFORE_TIMES: usize = 11;

/// Memory and processor time that a process has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Memory that is resident, in bytes.
    pub resident_bytes: u64,
    /// Processor time, user and system together.
    pub cpu: Duration,
}

impl ProcessUsage {
    /// Reads the usage of this process.
    ///
    /// # Errors
    ///
    /// Fails if the system does not tell.
    pub fn read_own() -> anyhow::Result<Self> {
        Self::read("self")
    }

    /// Reads the usage of another process.
    ///
    /// # Errors
    ///
    /// Fails if there is no such process.
    pub fn read_process(pid: u32) -> anyhow::Result<Self> {
        Self::read(&pid.to_string())
    }

    fn read(process: &str) -> anyhow::Result<Self> {
        let memory = std::fs::read_to_string(format!("/proc/{process}/statm"))?;
        let pages = memory.split_whitespace().nth(1).context("statm is short")?;
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
        let (_, fields) = stat.rsplit_once(')').context("stat has no name")?;
        let times = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES).take(2);
        let ticks: u64 = times.map(|ticks| ticks.parse::<u64>().unwrap_or(0)).sum();
        Ok(Self {
            resident_bytes: pages.parse::<u64>()? * PAGE_BYTES,
            cpu: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
        })
    }
}
