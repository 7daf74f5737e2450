use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use mustardhinge_core::budget::{LedgerError, LedgerResponse, RequestAmount};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::PeerApiClient;
use mustardhinge_rpc::budget::{BudgetGrant, BudgetRequest};

use super::{EscrowManager, StaticShares};
use crate::membership::{find_address, rank_zone};
use crate::peer::{PeerAddress, make_client};
use crate::state::SharedState;

/// Timeout of a budget request forwarded to another agent.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of cached clients; the cache is cleared when it is full.
const MAX_CLIENTS: usize = 64;
/// Number of top-ranked agents of a zone that a budget request is forwarded to.
const CANDIDATES: usize = 2;

/// Serves budget requests of entries from local ledgers or forwards them to the
/// agent that holds the requested zone's share.
pub(crate) struct BudgetRouter {
    state: Arc<SharedState>,
    ledgers: LedgerKind,
    clients: Mutex<BTreeMap<PeerAddress, Arc<HttpClient>>>,
}

/// The policy that divides customers' rates among instances.
pub(crate) enum LedgerKind {
    /// Each instance has the same fixed share.
    Static(Mutex<StaticShares>),
    /// Shares move between zones with demand.
    Escrow(Arc<EscrowManager>),
}

impl BudgetRouter {
    /// Creates the router of an agent.
    pub(crate) fn new(state: Arc<SharedState>, ledgers: LedgerKind) -> Self {
        Self {
            state,
            ledgers,
            clients: Mutex::default(),
        }
    }

    /// Handles a budget request of this instance's entry; forwards it if this agent
    /// does not hold the requested share.
    pub(crate) async fn acquire(&self, request: &BudgetRequest) -> BudgetGrant {
        let response = match self.grant(request) {
            Err(LedgerError::NotHolder) => self.forward(request).await,
            response => response,
        };
        count_request(&response);
        BudgetGrant { result: response }
    }

    /// Grants requests from the local ledgers.
    pub(crate) fn grant(&self, request: &BudgetRequest) -> Result<LedgerResponse, LedgerError> {
        match &self.ledgers {
            LedgerKind::Escrow(escrow_manager) if request.ledger_zone == self.state.zone => {
                escrow_manager.handle_request(request)
            }
            LedgerKind::Escrow(_) => Err(LedgerError::NotHolder),
            LedgerKind::Static(shares) => self.grant_static(shares, request),
        }
    }

    fn grant_static(
        &self,
        shares: &Mutex<StaticShares>,
        request: &BudgetRequest,
    ) -> Result<LedgerResponse, LedgerError> {
        let now = self.state.now();
        let mut shares = shares.lock().unwrap_or_else(PoisonError::into_inner);
        self.state.read(|known| {
            let document = known.document(&request.service);
            let document = document.map(|known| &known.document);
            shares.handle_request(request, document, now)
        })
    }

    async fn forward(&self, request: &BudgetRequest) -> Result<LedgerResponse, LedgerError> {
        if let LedgerKind::Static(_) = self.ledgers {
            return Err(LedgerError::NotHolder);
        }
        for holder in self.candidates(&request.ledger_zone) {
            let Some(client) = self.client(&holder) else {
                continue;
            };
            match client.lend_budget(request.clone()).await {
                Ok(grant) if grant.result != Err(LedgerError::NotHolder) => return grant.result,
                Ok(_) | Err(_) => {}
            }
        }
        Err(LedgerError::NotHolder)
    }

    fn candidates(&self, zone: &ZoneId) -> Vec<PeerAddress> {
        let now = self.state.now();
        self.state.read(|known| {
            let ranked = rank_zone(known, zone, None, now).into_iter();
            let others = ranked.filter(|member| *member != self.state.instance);
            others
                .take(CANDIDATES)
                .filter_map(|member| find_address(known, &member))
                .collect()
        })
    }

    fn client(&self, peer: &PeerAddress) -> Option<Arc<HttpClient>> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(peer) {
            return Some(client.clone());
        }
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        let client = Arc::new(make_client(peer, FORWARD_TIMEOUT)?);
        clients.insert(peer.clone(), client.clone());
        Some(client)
    }
}

fn count_request(response: &Result<LedgerResponse, LedgerError>) {
    let result = match response {
        Ok(response) if response.granted > RequestAmount::ZERO => "granted",
        Ok(_) => "empty",
        Err(LedgerError::NotHolder) => "not_holder",
        Err(LedgerError::UnknownCustomer) => "unknown_customer",
        Err(LedgerError::StaleSequence { .. }) => "stale_sequence",
    };
    metrics::counter!("mustardhinge_budget_requests_total", "result" => result).increment(1);
}
