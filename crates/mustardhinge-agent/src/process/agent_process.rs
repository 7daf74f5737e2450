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

/// Time that a planned stop waits for changes of primary in progress.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a planned stop polls for the entry and for changes of primary
/// in progress.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time that a planned stop waits for calls in flight, for each server.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The servers of an agent.
pub(super) struct AgentServers {
    /// The listen address for the entry and other agents.
    pub(super) address: SocketAddr,
    /// The RPC server for the entry and other agents.
    pub(super) server: ServerHandle,
    /// The server of the operator API.
    pub(super) operator: OperatorServer,
}

/// The components that take part in a planned stop.
pub(super) struct StopParts {
    /// The state of the agent.
    pub(super) state: Arc<SharedState>,
    /// The watches of database groups.
    pub(super) registry: Arc<WatchRegistry>,
    /// Maximum time for which the entry is served during a planned stop.
    pub(super) drain_bound: Duration,
    /// Manager of the zone's share under the escrow policy.
    pub(super) escrow_manager: Option<Arc<EscrowManager>>,
}

/// A running agent.
///
/// Dropping it ends the agent immediately; [`AgentProcess::stop`] shuts it down
/// gracefully.
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

    /// Returns a builder of an agent.
    #[must_use]
    pub fn builder() -> AgentBuilder {
        AgentBuilder::default()
    }

    /// Returns the listen address for the entry and other agents.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.servers.address
    }

    /// Returns the listen address of the operator API.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.servers.operator.address()
    }

    /// Returns whether the agent has proof that its documents are current and can
    /// serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = self.parts.state.now();
        self.parts.state.read(|known| known.is_ready(now))
    }

    /// Shuts the agent down gracefully.
    ///
    /// Notifies the entry that the instance is draining and serves it until it is
    /// gone, at most for the configured drain bound. Then waits for changes of
    /// primary in progress, releases the lease on the zone's share and completes
    /// calls in flight. Each step has a timeout.
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
