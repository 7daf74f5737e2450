use std::sync::Arc;

use jsonrpsee::core::{RpcResult, async_trait};
use mustardhinge_rpc::AgentApiServer;
use mustardhinge_rpc::budget::{BudgetGrant, BudgetRequest};
use mustardhinge_rpc::control::{ControlRequest, ControlState, TargetObservation};

use crate::budget::BudgetRouter;
use crate::group::WatchRegistry;
use crate::state::SharedState;

/// Serves the RPC calls of the entry.
pub(crate) struct AgentService {
    state: Arc<SharedState>,
    budget_router: Arc<BudgetRouter>,
    registry: Arc<WatchRegistry>,
}

impl AgentService {
    /// Creates the service.
    pub(crate) const fn new(
        state: Arc<SharedState>,
        budget_router: Arc<BudgetRouter>,
        registry: Arc<WatchRegistry>,
    ) -> Self {
        Self {
            state,
            budget_router,
            registry,
        }
    }
}

#[async_trait]
impl AgentApiServer for AgentService {
    async fn control_state(&self, request: ControlRequest) -> RpcResult<ControlState> {
        Ok(self.state.wait_control_state(&request).await)
    }

    async fn acquire_budget(&self, request: BudgetRequest) -> RpcResult<BudgetGrant> {
        Ok(self.budget_router.acquire(&request).await)
    }

    async fn observe_targets(&self, observations: Vec<TargetObservation>) -> RpcResult<()> {
        for observation in observations {
            self.registry.hint(&observation.group, &observation.target);
        }
        Ok(())
    }
}
