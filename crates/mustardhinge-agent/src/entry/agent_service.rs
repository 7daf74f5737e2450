use std::sync::{Arc, Mutex, PoisonError};

use jsonrpsee::core::{RpcResult, async_trait};
use mustardhinge_rpc::AgentApiServer;
use mustardhinge_rpc::budget::{BudgetGrant, BudgetRequest};
use mustardhinge_rpc::control::{ControlRequest, ControlState, TargetObservation};

use crate::budget::StaticShares;
use crate::group::WatchRegistry;
use crate::state::SharedState;

/// Answers the entry's calls.
pub(crate) struct AgentService {
    state: Arc<SharedState>,
    shares: Mutex<StaticShares>,
    registry: Arc<WatchRegistry>,
}

impl AgentService {
    /// Makes the service.
    pub(crate) fn new(
        state: Arc<SharedState>,
        shares: StaticShares,
        registry: Arc<WatchRegistry>,
    ) -> Self {
        Self {
            state,
            shares: Mutex::new(shares),
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
        let known = self
            .state
            .read(|known| known.document(&request.service).cloned());
        let document = known.as_ref().map(|known| &known.document);
        let now = self.state.now();
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        let result = shares.answer(&request, document, now);
        Ok(BudgetGrant { result })
    }

    async fn observe_targets(&self, observations: Vec<TargetObservation>) -> RpcResult<()> {
        for observation in observations {
            self.registry.hint(&observation.group, &observation.target);
        }
        Ok(())
    }
}
