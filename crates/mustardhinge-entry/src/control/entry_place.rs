use mustardhinge_core::prelude::*;
use mustardhinge_process::ProcessClock;
use tokio::runtime::Handle;

use super::AgentClient;

/// What the services' runtimes share of the entry they run in.
#[derive(Clone, Debug)]
pub struct EntryPlace {
    /// The availability zone of the instance.
    pub zone: ZoneId,
    /// The agent of the instance.
    pub agent: AgentClient,
    /// The runtime that carries control.
    pub control: Handle,
    /// The clock of the process.
    pub clock: ProcessClock,
}
