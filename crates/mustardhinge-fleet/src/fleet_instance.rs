use std::net::SocketAddr;

use mustardhinge_agent::AgentProcess;
use mustardhinge_core::prelude::*;
use mustardhinge_entry::process::EntryProcess;

/// One instance of a small fleet.
pub struct FleetInstance {
    /// Its name.
    pub instance: InstanceId,
    /// The availability zone it stands in.
    pub zone: ZoneId,
    /// Its agent; none once stopped or killed.
    pub agent: Option<AgentProcess>,
    /// Its entry; none once stopped or killed.
    pub entry: Option<EntryProcess>,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where the entry and other agents reach its agent.
    pub agent_address: SocketAddr,
    /// Where operators reach its agent.
    pub operator_address: SocketAddr,
}

impl FleetInstance {
    /// Ends entry and agent at once, as a crash does.
    pub fn kill(&mut self) {
        self.entry = None;
        self.agent = None;
    }

    /// Stops entry and agent as planned.
    pub async fn stop(&mut self) {
        if let Some(entry) = self.entry.take() {
            entry.stop().await;
        }
        if let Some(agent) = self.agent.take() {
            agent.stop().await;
        }
    }
}
