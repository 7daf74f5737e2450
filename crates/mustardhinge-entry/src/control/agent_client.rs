use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::ws_client::WsClient;
use mustardhinge_core::budget::LedgerResponse;
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::AgentApiClient;
use mustardhinge_rpc::budget::BudgetRequest;
use mustardhinge_rpc::control::TargetObservation;
use tokio::sync::watch;
use tokio::time::timeout;

/// Timeout of a call to the agent, including its calls to the ledgers of other
/// zones.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Client of the agent's RPC interface, used by the traffic threads.
#[derive(Clone, Debug)]
pub struct AgentClient {
    connection: watch::Receiver<Option<Arc<WsClient>>>,
}

impl AgentClient {
    /// Creates a client that uses the latest connection of the receiver.
    #[must_use]
    pub fn new(connection: watch::Receiver<Option<Arc<WsClient>>>) -> Self {
        Self { connection }
    }

    /// Reports an unresponsive target to the agent, which then probes it at once.
    pub async fn report_unresponsive(&self, group: GroupId, target: TargetId) {
        let Some(client) = self.connection.borrow().clone() else {
            return;
        };
        let observation = TargetObservation {
            group,
            target,
            answered: false,
        };
        let call = client.observe_targets(vec![observation]);
        let _ = timeout(CALL_TIMEOUT, call).await;
    }

    /// Sends a budget request to a ledger. Returns `None` if the call fails or times
    /// out.
    pub async fn acquire_budget(&self, request: BudgetRequest) -> Option<LedgerResponse> {
        let client = self.connection.borrow().clone()?;
        let call = client.acquire_budget(request);
        let grant = timeout(CALL_TIMEOUT, call).await.ok()?.ok()?;
        grant.result.ok()
    }
}
