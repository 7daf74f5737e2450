use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::server::ServerHandle;
use mustardhinge_core::drain::DrainCause;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::AgentBuilder;
use crate::budget::EscrowManager;
use crate::group::WatchRegistry;
use crate::operator::OperatorServer;
use crate::state::SharedState;

/// How long a planned stop waits for changes of primary under way.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// The time between two looks at what is under way.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a planned stop waits for calls under way.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The servers of an agent.
pub(super) struct AgentServers {
    /// Where the entry and other agents are served.
    pub(super) address: SocketAddr,
    /// The server of the entry and of other agents.
    pub(super) server: ServerHandle,
    /// The server of operators.
    pub(super) operator: OperatorServer,
}

/// What a planned stop hands over.
pub(super) struct StopParts {
    /// What the agent knows.
    pub(super) state: Arc<SharedState>,
    /// The watches of database groups.
    pub(super) registry: Arc<WatchRegistry>,
    /// How long the entry is served at most.
    pub(super) drain_bound: Duration,
    /// The keeper of the zone's share, if shares move.
    pub(super) escrow_manager: Option<Arc<EscrowManager>>,
}

/// A running agent.
///
/// Dropped, it ends at once; [`AgentProcess::stop`] ends it in order.
pub struct AgentProcess {
    servers: AgentServers,
    parts: StopParts,
    tasks: JoinSet<()>,
}

impl AgentProcess {
    pub(super) const fn new(servers: AgentServers, parts: StopParts, tasks: JoinSet<()>) -> Self {
        Self {
            servers,
            parts,
            tasks,
        }
    }

    /// Starts to set up an agent.
    #[must_use]
    pub fn builder() -> AgentBuilder {
        AgentBuilder::default()
    }

    /// Returns where it listens for the entry and for other agents.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.servers.address
    }

    /// Returns where it serves operators.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.servers.operator.address()
    }

    /// Returns whether it knows enough to serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = self.parts.state.now();
        self.parts.state.read(|known| known.is_ready(now))
    }

    /// Ends the agent: the entry hears that the instance drains and is served
    /// until it is gone, for the drain bound of the settings at most; changes of
    /// primary under way are ended, the zone's share is given back, calls under
    /// way are answered, all within bounds.
    pub async fn stop(mut self) {
        self.parts.state.set_drain(DrainCause::StopSignal, true);
        let _ = timeout(self.parts.drain_bound, self.wait_for_entry()).await;
        let _ = timeout(HANDOVER_TIMEOUT, self.wait_for_primary_changes()).await;
        self.tasks.shutdown().await;
        if let Some(escrow_manager) = &self.parts.escrow_manager {
            escrow_manager.leave().await;
        }
        let _ = timeout(CLOSE_TIMEOUT, self.servers.operator.stop()).await;
        if self.servers.server.stop().is_ok() {
            let _ = timeout(CLOSE_TIMEOUT, self.servers.server.stopped()).await;
        }
    }

    async fn wait_for_entry(&self) {
        let state = &self.parts.state;
        while !state.entry.is_gone(state.now()) {
            sleep(HANDOVER_POLL_INTERVAL).await;
        }
    }

    async fn wait_for_primary_changes(&self) {
        while self.parts.registry.is_primary_changing() {
            sleep(HANDOVER_POLL_INTERVAL).await;
        }
    }
}
