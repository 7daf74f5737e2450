use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use mustardhinge_core::prelude::*;

use crate::budget::{BudgetGrant, BudgetRequest};
use crate::operator::{OperatorError, SwitchoverRequest, SwitchoverResult};
use crate::peer::{ExchangeReply, ExchangeRequest, PeerError, PrimaryAnswer, PrimaryQuestion};

/// RPC methods that an agent serves to agents of other instances.
#[rpc(client, server, namespace = "peer")]
pub trait PeerApi {
    /// Returns the changes that the sender lacks as soon as there are any, or a
    /// reply without changes once `wait_ms` has elapsed.
    #[method(name = "exchange")]
    async fn exchange(
        &self,
        request: ExchangeRequest,
    ) -> RpcResult<Result<ExchangeReply, PeerError>>;

    /// Returns whether a target still responds to this agent.
    #[method(name = "hears_target")]
    async fn hears_target(&self, question: PrimaryQuestion) -> RpcResult<PrimaryAnswer>;

    /// Changes the primary of a group that this agent watches.
    #[method(name = "switch_over")]
    async fn switch_over(
        &self,
        group: GroupId,
        request: SwitchoverRequest,
    ) -> RpcResult<Result<SwitchoverResult, OperatorError>>;

    /// Grants requests out of the share that this agent holds for its zone.
    #[method(name = "lend_budget")]
    async fn lend_budget(&self, request: BudgetRequest) -> RpcResult<BudgetGrant>;
}
