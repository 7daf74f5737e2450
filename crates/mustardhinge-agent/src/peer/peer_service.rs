use std::sync::Arc;

use jsonrpsee::core::{RpcResult, async_trait};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::PeerApiServer;
use mustardhinge_rpc::budget::{BudgetGrant, BudgetRequest};
use mustardhinge_rpc::operator::{OperatorError, SwitchoverRequest, SwitchoverResult};
use mustardhinge_rpc::peer::{
    ExchangeReply, ExchangeRequest, PROTOCOL_VERSION, PeerError, PrimaryAnswer, PrimaryQuestion,
};

use super::exchange_response::handle_exchange;
use crate::budget::BudgetRouter;
use crate::group::{WatchRegistry, run_switchover};
use crate::state::SharedState;

/// RPC service for agents of other instances.
pub(crate) struct PeerService {
    state: Arc<SharedState>,
    registry: Arc<WatchRegistry>,
    budget_router: Arc<BudgetRouter>,
}

impl PeerService {
    /// Creates the service.
    pub(crate) const fn new(
        state: Arc<SharedState>,
        registry: Arc<WatchRegistry>,
        budget_router: Arc<BudgetRouter>,
    ) -> Self {
        Self {
            state,
            registry,
            budget_router,
        }
    }
}

#[async_trait]
impl PeerApiServer for PeerService {
    async fn exchange(
        &self,
        request: ExchangeRequest,
    ) -> RpcResult<Result<ExchangeReply, PeerError>> {
        if request.protocol != PROTOCOL_VERSION {
            metrics::counter!("mustardhinge_peer_refusals_total", "reason" => "other_protocol")
                .increment(1);
            return Ok(Err(PeerError::OtherProtocol));
        }
        for group in &request.groups {
            self.state.apply_group(group.clone());
        }
        Ok(Ok(handle_exchange(&self.state, &request).await))
    }

    async fn hears_target(&self, question: PrimaryQuestion) -> RpcResult<PrimaryAnswer> {
        let now = self.state.now();
        let handle = self.registry.get(&question.group);
        let answered = handle.map(|handle| {
            let view = handle.view.borrow();
            !view
                .reports
                .is_unresponsive(&question.target, now, handle.unresponsive_limit)
        });
        Ok(PrimaryAnswer {
            instance: self.state.instance.clone(),
            answered,
        })
    }

    async fn switch_over(
        &self,
        group: GroupId,
        request: SwitchoverRequest,
    ) -> RpcResult<Result<SwitchoverResult, OperatorError>> {
        Ok(run_switchover(&self.state, &self.registry, group, request.to).await)
    }

    async fn lend_budget(&self, request: BudgetRequest) -> RpcResult<BudgetGrant> {
        Ok(BudgetGrant {
            result: self.budget_router.grant(&request),
        })
    }
}
