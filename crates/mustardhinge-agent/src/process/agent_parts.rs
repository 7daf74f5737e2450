use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context;
use jsonrpsee::Methods;
use jsonrpsee::server::{Server, ServerConfig};
use mustardhinge_config::settings::{AgentSettings, BudgetPolicy};
use mustardhinge_core::failover::FailoverSettings;
use mustardhinge_process::ProcessClock;
use mustardhinge_rpc::{AgentApiServer, PeerApiServer};
use tokio::task::JoinSet;

use crate::budget::{BudgetRouter, EscrowManager, LedgerKind, StaticShares};
use crate::entry::AgentService;
use crate::group::{GroupContext, ProbeTiming, WatchSupervisor};
use crate::operator::{OperatorContext, OperatorServer};
use crate::peer::{PeerService, RoleSupervisor};
use crate::platform::PlatformClient;
use crate::state::{KnownState, ProofState, SharedState};

/// Maximum number of concurrent connections from the entry and other agents.
const MAX_CONNECTIONS: u32 = 512;

/// Number of probes that a primary may miss before it is suspected.
const MISSED_PROBES: u32 = 2;
/// Additional time for the response to a probe.
const PROBE_SLACK: Duration = Duration::from_millis(100);
/// Number of unresponsive limits after which a primary is suspected although another
/// watcher still receives its responses.
const CONTESTED_FACTOR: u32 = 4;

/// The components that grant requests to entries.
pub(super) struct BudgetParts {
    /// Serves budget requests of the entry and other agents.
    pub(super) budget_router: Arc<BudgetRouter>,
    /// Manages the zone's share under the escrow policy.
    pub(super) escrow_manager: Option<Arc<EscrowManager>>,
}

impl BudgetParts {
    /// Creates the components of the configured budget policy.
    pub(super) fn new(
        settings: &AgentSettings,
        state: &Arc<SharedState>,
        context: &GroupContext,
        incarnation: u64,
    ) -> Self {
        let (ledgers, escrow_manager) = match settings.budget_policy {
            BudgetPolicy::StaticShares => {
                let zone = settings.zone.clone();
                let shares = StaticShares::new(zone, incarnation, state.now());
                (LedgerKind::Static(Mutex::new(shares)), None)
            }
            BudgetPolicy::Escrow => {
                let (platform, claimant) = (context.platform.clone(), context.claimant.clone());
                let escrow_manager = EscrowManager::new(state.clone(), platform, claimant);
                let escrow_manager = Arc::new(escrow_manager);
                (
                    LedgerKind::Escrow(escrow_manager.clone()),
                    Some(escrow_manager),
                )
            }
        };
        let budget_router = Arc::new(BudgetRouter::new(state.clone(), ledgers));
        Self {
            budget_router,
            escrow_manager,
        }
    }
}

/// Creates the RPC methods for the entry and other agents.
pub(super) fn make_methods(
    state: &Arc<SharedState>,
    context: &GroupContext,
    budget_router: &Arc<BudgetRouter>,
) -> anyhow::Result<Methods> {
    let registry = &context.registry;
    let entry_service = AgentService::new(state.clone(), budget_router.clone(), registry.clone());
    let peer_service = PeerService::new(state.clone(), registry.clone(), budget_router.clone());
    let mut methods = Methods::new();
    methods
        .merge(entry_service.into_rpc())
        .context("registering the RPC methods for the entry")?;
    methods
        .merge(peer_service.into_rpc())
        .context("registering the RPC methods for other agents")?;
    Ok(methods)
}

/// Starts the server of the operator API.
pub(super) fn start_operator(
    settings: &AgentSettings,
    state: &Arc<SharedState>,
    context: &GroupContext,
) -> anyhow::Result<OperatorServer> {
    let operator_context = OperatorContext {
        state: state.clone(),
        platform: context.platform.clone(),
        registry: context.registry.clone(),
    };
    OperatorServer::start(settings.operator, operator_context)
}

/// Binds the RPC server for the entry and other agents.
pub(super) async fn bind_server(listen: SocketAddr) -> anyhow::Result<(Server, SocketAddr)> {
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .build();
    let server = Server::builder().set_config(config).build(listen).await;
    let server = server.with_context(|| format!("listening at {listen}"))?;
    let address = server.local_addr().context("reading the listen address")?;
    Ok((server, address))
}

/// Creates the context shared by all group watches.
pub(super) fn make_context(
    settings: &AgentSettings,
    state: &Arc<SharedState>,
    incarnation: u64,
) -> anyhow::Result<GroupContext> {
    let timeout = Duration::from_millis(settings.platform_timeout_ms.into());
    let platform = PlatformClient::new(settings.platform, timeout).context("platform client")?;
    let timing = ProbeTiming {
        interval: Duration::from_millis(settings.probe_interval_ms.into()),
        timeout: Duration::from_millis(settings.probe_timeout_ms.into()),
    };
    Ok(GroupContext {
        state: state.clone(),
        platform,
        timing,
        settings: failover_settings(timing),
        claimant: format!("{}:{incarnation}", settings.instance),
        registry: Arc::default(),
    })
}

/// Sets the unresponsive limits so that the primary can miss `MISSED_PROBES` probes.
fn failover_settings(timing: ProbeTiming) -> FailoverSettings {
    let base = FailoverSettings::new();
    let missed = timing.interval * MISSED_PROBES + PROBE_SLACK;
    let unresponsive = base.get_unresponsive_limit().max(missed);
    let contested = base
        .get_contested_limit()
        .max(unresponsive * CONTESTED_FACTOR);
    base.unresponsive_limit(unresponsive)
        .contested_limit(contested)
}

/// Creates the empty state of an agent.
pub(super) fn make_state(
    settings: &AgentSettings,
    clock: ProcessClock,
    incarnation: u64,
) -> SharedState {
    let proof = ProofState::new(settings.zone_count as usize);
    let drain_bound = Duration::from_millis(settings.drain_bound_ms.into());
    let known = KnownState::new(incarnation, proof, drain_bound);
    SharedState::new(
        clock,
        settings.instance.clone(),
        settings.zone.clone(),
        known,
    )
}

/// Starts the agent's tasks.
pub(super) fn start_tasks(
    settings: &AgentSettings,
    state: &Arc<SharedState>,
    context: &GroupContext,
    escrow_manager: Option<Arc<EscrowManager>>,
) -> JoinSet<()> {
    let wait = Duration::from_millis(settings.peer_interval_ms.into());
    let platform = context.platform.clone();
    let roles = RoleSupervisor::new(state.clone(), platform, settings.peers.clone(), wait);
    let mut tasks = JoinSet::new();
    tasks.spawn(roles.run());
    tasks.spawn(WatchSupervisor::new(context.clone()).run());
    if let Some(escrow_manager) = escrow_manager {
        let watcher = escrow_manager.clone();
        tasks.spawn(async move { escrow_manager.run().await });
        tasks.spawn(async move { watcher.watch_shares().await });
    }
    tasks
}
