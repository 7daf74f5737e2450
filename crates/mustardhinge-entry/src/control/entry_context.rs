use mustardhinge_core::prelude::*;
use mustardhinge_process::ProcessClock;
use tokio::runtime::Handle;

use super::AgentClient;

/// Resources of the entry shared by the runtimes of all services.
#[derive(Clone, Debug)]
pub struct EntryContext {
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Client of the instance's agent.
    pub agent: AgentClient,
    /// Runtime of the control tasks.
    pub control: Handle,
    /// Clock of the process.
    pub clock: ProcessClock,
}
