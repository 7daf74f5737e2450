use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::budget::{BudgetGrant, BudgetRequest};
use crate::control::{ControlRequest, ControlState, TargetObservation};

/// RPC methods that an agent serves to the entry of its instance, over loopback.
#[rpc(client, server, namespace = "agent")]
pub trait AgentApi {
    /// Returns the control state as soon as it is newer than the revision known
    /// to the entry, or the unchanged state once `wait_ms` has elapsed.
    #[method(name = "control_state")]
    async fn control_state(&self, request: ControlRequest) -> RpcResult<ControlState>;

    /// Reports the requests that the entry has spent and acquires more.
    #[method(name = "acquire_budget")]
    async fn acquire_budget(&self, request: BudgetRequest) -> RpcResult<BudgetGrant>;

    /// Reports to the agent which targets responded to the entry.
    #[method(name = "observe_targets")]
    async fn observe_targets(&self, observations: Vec<TargetObservation>) -> RpcResult<()>;
}
