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

/// How long the agent may take to answer, other zones' ledgers included.
const CALL_BOUND: Duration = Duration::from_millis(250);

/// The present connection to the agent, for calls from the traffic threads.
#[derive(Clone, Debug)]
pub struct AgentClient {
    connection: watch::Receiver<Option<Arc<WsClient>>>,
}

impl AgentClient {
    /// Makes a client that uses the newest connection of the receiver.
    #[must_use]
    pub fn new(connection: watch::Receiver<Option<Arc<WsClient>>>) -> Self {
        Self { connection }
    }

    /// Tells the agent that a target does not answer, so that it looks at once.
    pub async fn report_silence(&self, group: GroupId, target: TargetId) {
        let Some(client) = self.connection.borrow().clone() else {
            return;
        };
        let observation = TargetObservation {
            group,
            target,
            answered: false,
        };
        let call = client.observe_targets(vec![observation]);
        let _ = timeout(CALL_BOUND, call).await;
    }

    /// Asks a ledger; none if it does not answer in time.
    pub async fn ask_budget(&self, request: BudgetRequest) -> Option<LedgerResponse> {
        let client = self.connection.borrow().clone()?;
        let call = client.acquire_budget(request);
        let grant = timeout(CALL_BOUND, call).await.ok()?.ok()?;
        grant.result.ok()
    }
}
