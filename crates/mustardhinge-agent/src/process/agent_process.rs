use std::net::SocketAddr;
use std::sync::Arc;

use jsonrpsee::server::ServerHandle;
use tokio::task::JoinSet;

use super::AgentBuilder;
use crate::state::SharedState;

/// A running agent.
///
/// Dropped, it ends at once; [`AgentProcess::stop`] ends it in order.
pub struct AgentProcess {
    address: SocketAddr,
    state: Arc<SharedState>,
    server: ServerHandle,
    tasks: JoinSet<()>,
}

impl AgentProcess {
    pub(super) const fn new(
        address: SocketAddr,
        state: Arc<SharedState>,
        server: ServerHandle,
        tasks: JoinSet<()>,
    ) -> Self {
        Self {
            address,
            state,
            server,
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
        self.address
    }

    /// Returns whether it knows enough to serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.read(|known| known.proven_at.is_some())
    }

    /// Ends the agent.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
        if self.server.stop().is_ok() {
            self.server.stopped().await;
        }
    }
}
