use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use jsonrpsee::server::{Server, ServerConfig};
use mustardhinge_config::settings::AgentSettings;
use mustardhinge_core::failover::FailoverSettings;
use mustardhinge_process::{ProcessClock, event};
use mustardhinge_rpc::{AgentApiServer, PeerApiServer};
use tokio::task::JoinSet;

use super::AgentProcess;
use super::agent_process::AgentServers;
use crate::budget::StaticShares;
use crate::entry::AgentService;
use crate::group::{GroupContext, ProbeTiming, WatchSupervisor};
use crate::operator::{OperatorContext, OperatorServer};
use crate::peer::{PeerService, RoleSupervisor};
use crate::platform::PlatformClient;
use crate::state::{KnownState, ProofState, SharedState};

/// Connections that the entry and other agents may hold at once.
const MAX_CONNECTIONS: u32 = 512;

/// Sets up an agent.
#[derive(Clone, Debug, Default)]
pub struct AgentBuilder {
    settings: Option<AgentSettings>,
    clock: Option<ProcessClock>,
    incarnation: Option<u64>,
}

impl AgentBuilder {
    /// Sets the settings; needed.
    #[must_use]
    pub fn settings(mut self, settings: AgentSettings) -> Self {
        self.settings = Some(settings);
        self
    }

    /// Sets the clock; a new one by default.
    #[must_use]
    pub const fn clock(mut self, clock: ProcessClock) -> Self {
        self.clock = Some(clock);
        self
    }

    /// Sets the number of this start; random by default.
    #[must_use]
    pub const fn incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = Some(incarnation);
        self
    }

    /// Returns the settings, if they are set.
    #[must_use]
    pub const fn get_settings(&self) -> Option<&AgentSettings> {
        self.settings.as_ref()
    }

    /// Starts the agent as tasks of the present runtime.
    ///
    /// # Errors
    ///
    /// Fails if settings are missing or an address can't be listened at.
    pub async fn start(self) -> anyhow::Result<AgentProcess> {
        let settings = self.settings.context("the agent's settings are not set")?;
        let clock = self.clock.unwrap_or_else(ProcessClock::start);
        let incarnation = self.incarnation.unwrap_or_else(rand::random);
        let state = Arc::new(make_state(&settings, clock, incarnation));
        let context = group_context(&settings, &state, incarnation)?;
        let shares = StaticShares::new(settings.zone.clone(), incarnation, state.now());
        let service = AgentService::new(state.clone(), shares, context.registry.clone());
        let (server, address) = bind_server(settings.listen).await?;
        let mut methods = service.into_rpc();
        let peer_service = PeerService::new(state.clone(), context.registry.clone());
        methods
            .merge(peer_service.into_rpc())
            .context("calls of other agents")?;
        let server = server.start(methods);
        let operator = OperatorServer::start(
            settings.operator,
            OperatorContext {
                state: state.clone(),
                platform: context.platform.clone(),
                registry: context.registry.clone(),
            },
        )?;
        let tasks = start_tasks(&settings, &state, &context);
        event::PROCESS_STARTED.log(format_args!(
            "process=agent instance={} listen={address} operator={}",
            settings.instance,
            operator.address()
        ));
        let servers = AgentServers {
            address,
            server,
            operator,
        };
        Ok(AgentProcess::new(servers, state, context.registry, tasks))
    }
}

async fn bind_server(listen: SocketAddr) -> anyhow::Result<(Server, SocketAddr)> {
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .build();
    let server = Server::builder().set_config(config).build(listen).await;
    let server = server.with_context(|| format!("listening at {listen}"))?;
    let address = server.local_addr().context("the address listened at")?;
    Ok((server, address))
}

fn group_context(
    settings: &AgentSettings,
    state: &Arc<SharedState>,
    incarnation: u64,
) -> anyhow::Result<GroupContext> {
    let timeout = Duration::from_millis(settings.platform_timeout_ms.into());
    let platform = PlatformClient::new(settings.platform, timeout).context("platform client")?;
    let timing = ProbeTiming {
        interval: Duration::from_millis(settings.probe_interval_ms.into()),
        bound: Duration::from_millis(settings.probe_timeout_ms.into()),
    };
    Ok(GroupContext {
        state: state.clone(),
        platform,
        timing,
        settings: FailoverSettings::new(),
        claimant: format!("{}:{incarnation}", settings.instance),
        registry: Arc::default(),
    })
}

fn make_state(settings: &AgentSettings, clock: ProcessClock, incarnation: u64) -> SharedState {
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

fn start_tasks(
    settings: &AgentSettings,
    state: &Arc<SharedState>,
    context: &GroupContext,
) -> JoinSet<()> {
    let wait = Duration::from_millis(settings.peer_interval_ms.into());
    let platform = context.platform.clone();
    let roles = RoleSupervisor::new(state.clone(), platform, settings.peers.clone(), wait);
    let mut tasks = JoinSet::new();
    tasks.spawn(roles.run());
    tasks.spawn(WatchSupervisor::new(context.clone()).run());
    tasks
}
