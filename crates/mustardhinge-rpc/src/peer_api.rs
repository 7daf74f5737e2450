use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use mustardhinge_core::prelude::*;

use crate::budget::{BudgetGrant, BudgetRequest};
use crate::operator::{OperatorError, SwitchoverRequest, SwitchoverResult};
use crate::peer::{ExchangeReply, ExchangeRequest, PeerError, PrimaryAnswer, PrimaryQuestion};

/// The calls that an agent answers to agents of other instances.
#[rpc(client, server, namespace = "peer")]
pub trait PeerApi {
    /// Tells what is new here as soon as there is something, or nothing once
    /// the wait is over.
    #[method(name = "exchange")]
    async fn exchange(
        &self,
        request: ExchangeRequest,
    ) -> RpcResult<Result<ExchangeReply, PeerError>>;

    /// Says whether a target is still heard here.
    #[method(name = "hears_target")]
    async fn hears_target(&self, question: PrimaryQuestion) -> RpcResult<PrimaryAnswer>;

    /// Changes the primary of a group that this agent watches.
    #[method(name = "switch_over")]
    async fn switch_over(
        &self,
        group: GroupId,
        request: SwitchoverRequest,
    ) -> RpcResult<Result<SwitchoverResult, OperatorError>>;

    /// Lends requests out of the share that this agent holds for its zone.
    #[method(name = "lend_budget")]
    async fn lend_budget(&self, request: BudgetRequest) -> RpcResult<BudgetGrant>;
}
