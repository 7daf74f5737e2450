use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::budget::{BudgetGrant, BudgetRequest};
use crate::control::{ControlRequest, ControlState, TargetObservation};

/// The calls that an agent answers to the entry of its instance, over loopback.
#[rpc(client, server, namespace = "agent")]
pub trait AgentApi {
    /// Returns the control state as soon as it is newer than the one known, or
    /// unchanged once the wait is over.
    #[method(name = "control_state")]
    async fn control_state(&self, request: ControlRequest) -> RpcResult<ControlState>;

    /// Reports what the entry has spent and asks for more requests.
    #[method(name = "acquire_budget")]
    async fn acquire_budget(&self, request: BudgetRequest) -> RpcResult<BudgetGrant>;

    /// Tells the agent what the entry saw of targets.
    #[method(name = "observe_targets")]
    async fn observe_targets(&self, observations: Vec<TargetObservation>) -> RpcResult<()>;
}
