use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use mustardhinge_core::prelude::*;
use mustardhinge_process::event;
use mustardhinge_rpc::PeerApiClient;
use mustardhinge_rpc::operator::PeerSummary;
use mustardhinge_rpc::peer::{
    ExchangeReply, ExchangeRequest, PROTOCOL_VERSION, PeerDocument, StoreOutage,
};
use rand::RngExt;
use tokio::sync::watch::Receiver;

use crate::state::{AdoptedDocument, SharedState, millis};

/// Timeout of a call to another agent, in addition to the long-poll wait.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum delay before a failed exchange is retried; jitter shortens it to as
/// little as half.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Address of another agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PeerAddress {
    /// The agent's instance; `None` if only the address is known.
    pub(crate) instance: Option<InstanceId>,
    /// The agent's availability zone, if known.
    pub(crate) zone: Option<ZoneId>,
    /// The listen address.
    pub(crate) address: SocketAddr,
}

/// Exchanges state with one other agent in a loop.
pub(super) struct ExchangeLoop {
    state: Arc<SharedState>,
    peer: PeerAddress,
    client: HttpClient,
    wait: Duration,
    peer_incarnation: u64,
    peer_change: u64,
    sent_change: u64,
    is_reachable: bool,
}

impl ExchangeLoop {
    /// Creates the exchange loop with an agent; each call waits up to `wait` for an
    /// update. Returns `None` if the client cannot be built.
    pub(super) fn new(state: Arc<SharedState>, peer: PeerAddress, wait: Duration) -> Option<Self> {
        let client = HttpClient::builder()
            .request_timeout(wait + PEER_TIMEOUT)
            .build(format!("http://{}", peer.address))
            .ok()?;
        Some(Self {
            state,
            peer,
            client,
            wait,
            peer_incarnation: 0,
            peer_change: 0,
            sent_change: 0,
            is_reachable: true,
        })
    }

    /// Exchanges in a loop, with a delay after each failure.
    pub(super) async fn run(mut self) {
        loop {
            if !self.exchange_once(self.wait).await {
                let jitter = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(MAX_RETRY_DELAY.mul_f64(jitter)).await;
            }
        }
    }

    /// Runs one exchange. Cancels it when a group changes locally, so that the next
    /// request carries the change. Returns `false` if the exchange failed.
    pub(super) async fn exchange_once(&mut self, wait: Duration) -> bool {
        let requested_at = self.state.now();
        let mut changes = self.state.subscribe();
        let (request, change) = self.make_request(wait, requested_at);
        let response = tokio::select! {
            response = self.client.exchange(request) => response,
            () = wait_for_groups(&self.state, &mut changes, change) => return true,
        };
        match response {
            Ok(Ok(reply)) => {
                self.sent_change = change;
                self.apply_reply(reply, requested_at);
                true
            }
            Ok(Err(_)) => self.record_failure("other_protocol"),
            Err(_) => self.record_failure("no_answer"),
        }
    }

    fn make_request(&self, wait: Duration, now: MonotonicTime) -> (ExchangeRequest, u64) {
        self.state.read(|known| {
            let request = ExchangeRequest {
                protocol: PROTOCOL_VERSION,
                instance: self.state.instance.clone(),
                store_revision: known.store_revision,
                list_revision: known.instances.revision,
                peer_incarnation: self.peer_incarnation,
                group_change: self.peer_change,
                groups: known.groups.changed_after(self.sent_change, now),
                wait_ms: millis(wait),
            };
            (request, known.groups.last_change())
        })
    }

    fn apply_reply(&mut self, reply: ExchangeReply, requested_at: MonotonicTime) {
        count_exchange("answered");
        if reply.incarnation != self.peer_incarnation {
            self.peer_incarnation = reply.incarnation;
            self.sent_change = 0;
        }
        self.peer_change = reply.group_change;
        self.is_reachable = true;
        let parse = |document: &PeerDocument| {
            let operation = document.operation_id.clone();
            AdoptedDocument::parse(document.version, operation, &document.text).ok()
        };
        let documents = reply.documents.iter().filter_map(parse).collect();
        self.state.adopt_all(documents, reply.store_revision);
        if let Some(list) = reply.list {
            self.state.apply_instances(list);
        }
        for group in reply.groups {
            self.state.apply_group(group);
        }
        self.apply_proof(&reply.outages, reply.proof_age_ms, requested_at);
        self.record_response(&reply.instance, reply.zone);
    }

    fn apply_proof(
        &self,
        outages: &[StoreOutage],
        proof_age_ms: Option<u32>,
        requested_at: MonotonicTime,
    ) {
        self.state.update_proof(|known| {
            known.proof.record_peer_outages(outages, requested_at);
            if let Some(age_ms) = proof_age_ms {
                known.proof.record_peer_proof(requested_at, age_ms);
            }
        });
    }

    fn record_response(&self, instance: &InstanceId, zone: ZoneId) {
        let summary = PeerSummary {
            instance: instance.clone(),
            zone,
            address: self.peer.address.to_string(),
            reachable: true,
        };
        self.state.update(|known| {
            known.members.on_answer(instance);
            known.peers.insert(instance.clone(), summary);
            false
        });
    }

    fn record_failure(&mut self, reason: &'static str) -> bool {
        count_exchange(reason);
        let now = self.state.now();
        if let Some(instance) = &self.peer.instance {
            self.state.update(|known| {
                known.members.on_failure(instance, now);
                if let Some(summary) = known.peers.get_mut(instance) {
                    summary.reachable = false;
                }
                false
            });
        }
        if self.is_reachable {
            let address = self.peer.address;
            event::PEER_LOST.log(format_args!("address={address} reason={reason}"));
        }
        self.is_reachable = false;
        false
    }
}

/// Waits until a group has changed after the change number `change`.
async fn wait_for_groups(state: &SharedState, changes: &mut Receiver<u64>, change: u64) {
    while state.read(|known| known.groups.last_change()) <= change {
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

fn count_exchange(result: &'static str) {
    metrics::counter!("mustardhinge_peer_exchanges_total", "result" => result).increment(1);
}
