use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use mustardhinge_core::prelude::*;
use mustardhinge_process::event;
use mustardhinge_rpc::AgentApiClient;
use mustardhinge_rpc::control::{ControlRequest, ControlState, GroupState, ServiceState};
use tokio::sync::watch;
use tokio::time::sleep;

use super::{ControlSnapshot, EntryContext, ServiceRuntime, WriteHold};

/// Maximum time for which the agent delays the response while its state is
/// unchanged, in milliseconds.
const LONG_POLL_WAIT_MS: u32 = 300;

/// Timeout of a call, including the agent's delay.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay before reconnecting to the agent.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Polls the control state of the agent and publishes snapshots of it.
///
/// It runs on the control thread. While the agent is unreachable, the last snapshot
/// stays in use and its proof ages.
#[derive(Debug)]
pub struct ControlLink {
    agent: SocketAddr,
    context: EntryContext,
    snapshot: watch::Sender<Arc<ControlSnapshot>>,
    connection: watch::Sender<Option<Arc<WsClient>>>,
    agent_incarnation: u64,
    known_revision: u64,
}

impl ControlLink {
    /// Creates a link to the agent at this address.
    #[must_use]
    pub fn new(
        agent: SocketAddr,
        context: EntryContext,
        snapshot: watch::Sender<Arc<ControlSnapshot>>,
        connection: watch::Sender<Option<Arc<WsClient>>>,
    ) -> Self {
        Self {
            agent,
            context,
            snapshot,
            connection,
            agent_incarnation: 0,
            known_revision: 0,
        }
    }

    /// Polls the agent until all snapshot receivers are dropped.
    pub async fn run(mut self) {
        while !self.snapshot.is_closed() {
            if let Err(error) = self.follow().await {
                self.connection.send_replace(None);
                event::AGENT_NOT_REACHED.log(format_args!(
                    "agent={} error={:?}",
                    self.agent,
                    error.to_string()
                ));
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    async fn follow(&mut self) -> Result<(), ClientError> {
        let client: WsClient = WsClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .connection_timeout(CALL_TIMEOUT)
            .build(format!("ws://{}", self.agent))
            .await?;
        let client = Arc::new(client);
        self.connection.send_replace(Some(Arc::clone(&client)));
        while !self.snapshot.is_closed() {
            let request = ControlRequest {
                agent_incarnation: self.agent_incarnation,
                known_revision: self.known_revision,
                wait_ms: LONG_POLL_WAIT_MS,
            };
            let requested_at = self.context.clock.now();
            let state = client.control_state(request).await?;
            self.adopt(state, requested_at);
        }
        Ok(())
    }

    fn adopt(&mut self, state: ControlState, requested_at: MonotonicTime) {
        let is_known = state.agent_incarnation == self.agent_incarnation
            && state.revision == self.known_revision;
        self.agent_incarnation = state.agent_incarnation;
        self.known_revision = state.revision;
        let age = state
            .proof_age_ms
            .map(|ms| Duration::from_millis(ms.into()));
        let proven_at = age.map(|age| requested_at - age);
        let old = Arc::clone(&self.snapshot.borrow());
        let holds = merge_holds(&old, &state.groups, self.context.clock.now());
        let services = if is_known {
            old.services.clone()
        } else {
            self.merge_services(&old, state.services)
        };
        self.snapshot.send_replace(Arc::new(ControlSnapshot {
            proven_at: proven_at.max(old.proven_at),
            is_draining: state.draining,
            holds,
            services,
        }));
    }

    /// Adopts documents with a higher version. Services without an offered document
    /// stay unchanged.
    fn merge_services(
        &self,
        old: &ControlSnapshot,
        offered: Vec<ServiceState>,
    ) -> BTreeMap<ServiceId, Arc<ServiceRuntime>> {
        let mut services = old.services.clone();
        for state in offered {
            let service = state.document.service.clone();
            let previous = services.get(&service);
            if previous.is_some_and(|known| known.version() >= state.version) {
                continue;
            }
            let prepared =
                ServiceRuntime::prepare(state.version, state.document, previous, &self.context);
            match prepared {
                Ok(runtime) => drop(services.insert(service, Arc::new(runtime))),
                Err(error) => event::DOCUMENT_NOT_SERVED.log(format_args!(
                    "service={service} error={:?}",
                    error.to_string()
                )),
            }
        }
        services
    }
}

/// Adds the write holds of the changed groups and removes expired holds.
fn merge_holds(
    old: &ControlSnapshot,
    changed: &[GroupState],
    now: MonotonicTime,
) -> BTreeMap<GroupId, WriteHold> {
    let mut holds = old.holds.clone();
    for state in changed {
        let duration = Duration::from_millis(state.writes_held_ms.into());
        let until = now + duration;
        let term = state.term;
        holds.insert(state.group.clone(), WriteHold { term, until });
    }
    holds.retain(|_, hold| hold.until > now);
    holds
}
