use std::sync::{Arc, Mutex, PoisonError};

use jsonrpsee::core::{RpcResult, async_trait};
use mustardhinge_rpc::AgentApiServer;
use mustardhinge_rpc::budget::{BudgetGrant, BudgetRequest};
use mustardhinge_rpc::control::{ControlRequest, ControlState, TargetObservation};

use crate::budget::StaticShares;
use crate::state::SharedState;

/// Answers the entry's calls.
pub(crate) struct AgentService {
    state: Arc<SharedState>,
    shares: Mutex<StaticShares>,
}

impl AgentService {
    /// Makes the service.
    pub(crate) fn new(state: Arc<SharedState>) -> Self {
        Self {
            state,
            shares: Mutex::default(),
        }
    }
}

#[async_trait]
impl AgentApiServer for AgentService {
    async fn control_state(&self, request: ControlRequest) -> RpcResult<ControlState> {
        Ok(self.state.wait_control_state(&request).await)
    }

    async fn acquire_budget(&self, request: BudgetRequest) -> RpcResult<BudgetGrant> {
        let now = self.state.now();
        let known = self
            .state
            .read(|known| known.documents.get(&request.service).cloned());
        let document = known.as_ref().map(|known| &known.document);
        let customer = document.and_then(|document| {
            let mut customers = document.customers.iter();
            let customer = customers.find(|customer| customer.name == request.customer)?;
            Some((customer, &document.limits))
        });
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(shares.answer(&request, customer, now))
    }

    async fn observe_targets(&self, observations: Vec<TargetObservation>) -> RpcResult<()> {
        for observation in observations {
            let (group, target) = (observation.group, observation.target);
            log::debug!("group={group} target={target} seen by the entry");
        }
        Ok(())
    }
}
