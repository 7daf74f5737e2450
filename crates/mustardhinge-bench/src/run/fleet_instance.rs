use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, anyhow};
use mustardhinge_agent::AgentProcess;
use mustardhinge_config::settings::{AgentSettings, EntrySettings};
use mustardhinge_core::prelude::*;
use mustardhinge_entry::process::{EntryBuilder, EntryProcess};
use mustardhinge_standins::forward::{DelayForwarder, ForwardHandle};

use super::InstanceRuntime;
use super::fleet_group::ANY_ADDRESS;

/// The time that a planned stop may take, in milliseconds.
const DRAIN_BOUND_MS: u32 = 5_000;

/// What an instance is started with.
#[derive(Clone, Debug)]
pub(super) struct InstanceSetup {
    pub(super) instance: InstanceId,
    pub(super) zone: ZoneId,
    pub(super) platform: SocketAddr,
    pub(super) platform_delay: Duration,
    pub(super) caller_delay: Duration,
    pub(super) budget_policy: &'static str,
}

/// An entry and an agent of one instance, each in a runtime of its own.
pub struct FleetInstance {
    setup: InstanceSetup,
    agent_address: SocketAddr,
    entry_address: SocketAddr,
    link: ForwardHandle,
    platform_link: ForwardHandle,
    agent: Option<(AgentProcess, InstanceRuntime)>,
    entry: Option<(EntryProcess, InstanceRuntime)>,
}

impl FleetInstance {
    /// Starts the agent alone.
    pub(super) async fn start_agent(setup: InstanceSetup) -> anyhow::Result<Self> {
        let agent = start_agent(&setup, ANY_ADDRESS).await?;
        let link = DelayForwarder::start(ANY_ADDRESS, setup.platform).await?;
        Ok(Self {
            agent_address: agent.0.address(),
            entry_address: ANY_ADDRESS,
            platform_link: link.clone(),
            link,
            agent: Some(agent),
            entry: None,
            setup,
        })
    }

    /// Starts the agent, the entry and the network in front of the entry.
    pub(super) async fn start(mut setup: InstanceSetup) -> anyhow::Result<Self> {
        let platform_link = DelayForwarder::start(ANY_ADDRESS, setup.platform).await?;
        platform_link.change_delays(|delays| delays.default_delay = setup.platform_delay);
        setup.platform = platform_link.address();
        let agent = start_agent(&setup, ANY_ADDRESS).await?;
        let agent_address = agent.0.address();
        let entry = start_entry(&setup, ANY_ADDRESS, agent_address).await?;
        let entry_address = entry.0.address();
        let link = DelayForwarder::start(ANY_ADDRESS, entry_address).await?;
        link.change_delays(|delays| delays.default_delay = setup.caller_delay);
        Ok(Self {
            setup,
            agent_address,
            entry_address,
            link,
            platform_link,
            agent: Some(agent),
            entry: Some(entry),
        })
    }

    /// Returns the instance.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        &self.setup.instance
    }

    /// Returns the zone of the instance.
    #[must_use]
    pub fn zone(&self) -> &ZoneId {
        &self.setup.zone
    }

    /// Returns where callers connect.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Cuts the agent off from the platform, or ends the cut.
    pub fn cut_platform(&self, is_cut: bool) {
        self.platform_link.change_link(|link| link.frozen = is_cut);
    }

    /// Returns where the agent listens.
    #[must_use]
    pub fn agent_address(&self) -> SocketAddr {
        self.agent_address
    }

    /// Returns where the agent serves operators, while it runs.
    #[must_use]
    pub fn operator_address(&self) -> Option<SocketAddr> {
        self.agent
            .as_ref()
            .map(|(agent, _)| agent.operator_address())
    }

    /// Returns where the entry listens, without the callers' delay.
    #[must_use]
    pub fn entry_address(&self) -> SocketAddr {
        self.entry_address
    }

    /// Returns the entry, while it runs.
    #[must_use]
    pub fn entry(&self) -> Option<&EntryProcess> {
        self.entry.as_ref().map(|(entry, _)| entry)
    }

    /// Waits until the entry can serve.
    pub async fn wait_until_ready(&self, bound: Duration) -> bool {
        match self.entry() {
            Some(entry) => entry.wait_until_ready(bound).await,
            None => false,
        }
    }

    /// Ends the entry at once, as if its process died.
    pub fn kill_entry(&mut self) {
        if let Some((entry, runtime)) = self.entry.take() {
            drop(entry);
            runtime.kill();
        }
    }

    /// Ends the agent at once, as if its process died.
    pub fn kill_agent(&mut self) {
        if let Some((agent, runtime)) = self.agent.take() {
            drop(agent);
            runtime.kill();
        }
    }

    /// Starts the entry again.
    ///
    /// # Errors
    ///
    /// Fails if it can't listen at its address.
    pub async fn restart_entry(&mut self) -> anyhow::Result<()> {
        let entry = start_entry(&self.setup, self.entry_address, self.agent_address).await?;
        self.entry = Some(entry);
        Ok(())
    }

    /// Starts the agent again.
    ///
    /// # Errors
    ///
    /// Fails if it can't listen at its address.
    pub async fn restart_agent(&mut self) -> anyhow::Result<()> {
        self.agent = Some(start_agent(&self.setup, self.agent_address).await?);
        Ok(())
    }

    /// Stops entry and agent as planned.
    pub async fn stop(&mut self) {
        if let Some((entry, runtime)) = self.entry.take() {
            entry.stop().await;
            runtime.kill();
        }
        if let Some((agent, runtime)) = self.agent.take() {
            agent.stop().await;
            runtime.kill();
        }
    }

    /// Pauses the whole instance, which does not know of it.
    pub fn pause(&self, time: Duration) {
        if let Some((_, runtime)) = &self.entry {
            runtime.pause(time);
        }
        if let Some((_, runtime)) = &self.agent {
            runtime.pause(time);
        }
    }
}

async fn start_agent(
    setup: &InstanceSetup,
    listen: SocketAddr,
) -> anyhow::Result<(AgentProcess, InstanceRuntime)> {
    let text = format!(
        "instance = '{}'\nzone = '{}'\nlisten = '{listen}'\noperator = '{ANY_ADDRESS}'\n\
         platform = '{}'\nbudget_policy = '{}'",
        setup.instance, setup.zone, setup.platform, setup.budget_policy
    );
    let settings = AgentSettings::parse(&text).map_err(|findings| anyhow!("{findings}"))?;
    let runtime = InstanceRuntime::start("agent")?;
    let start = AgentProcess::builder().settings(settings).start();
    let agent = runtime.handle().spawn(start).await??;
    Ok((agent, runtime))
}

async fn start_entry(
    setup: &InstanceSetup,
    listen: SocketAddr,
    agent: SocketAddr,
) -> anyhow::Result<(EntryProcess, InstanceRuntime)> {
    let text = format!(
        "instance = '{}'\nzone = '{}'\nlisten = '{listen}'\nagent = '{agent}'\n\
         drain_bound_ms = {DRAIN_BOUND_MS}",
        setup.instance, setup.zone
    );
    let settings = EntrySettings::parse(&text).map_err(|findings| anyhow!("{findings}"))?;
    let runtime = InstanceRuntime::start("entry")?;
    let start = EntryBuilder::new(settings).start();
    let entry = runtime.handle().spawn(start).await?;
    Ok((entry.context("starting an entry")?, runtime))
}
