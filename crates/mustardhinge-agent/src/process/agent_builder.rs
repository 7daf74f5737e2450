use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use mustardhinge_config::settings::AgentSettings;
use mustardhinge_process::{ProcessClock, event};

use super::AgentProcess;
use super::agent_parts::{
    BudgetParts, bind_server, make_context, make_methods, make_state, start_operator, start_tasks,
};
use super::agent_process::{AgentServers, StopParts};

/// Configures and starts an agent.
#[derive(Clone, Debug, Default)]
pub struct AgentBuilder {
    settings: Option<AgentSettings>,
    clock: Option<ProcessClock>,
    incarnation: Option<u64>,
}

impl AgentBuilder {
    /// Sets the settings; required.
    #[must_use]
    pub fn settings(mut self, settings: AgentSettings) -> Self {
        self.settings = Some(settings);
        self
    }

    /// Sets the clock. Defaults to a new one.
    #[must_use]
    pub const fn clock(mut self, clock: ProcessClock) -> Self {
        self.clock = Some(clock);
        self
    }

    /// Sets the incarnation of this process. Defaults to a random number.
    #[must_use]
    pub const fn incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = Some(incarnation);
        self
    }

    /// Returns the settings, if set.
    #[must_use]
    pub const fn get_settings(&self) -> Option<&AgentSettings> {
        self.settings.as_ref()
    }

    /// Starts the agent's tasks on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are missing or the agent cannot listen on an
    /// address.
    pub async fn start(self) -> anyhow::Result<AgentProcess> {
        let settings = self.settings.context("the agent's settings are not set")?;
        let clock = self.clock.unwrap_or_else(ProcessClock::start);
        let incarnation = self.incarnation.unwrap_or_else(rand::random);
        let state = Arc::new(make_state(&settings, clock, incarnation));
        let context = make_context(&settings, &state, incarnation)?;
        let budget = BudgetParts::new(&settings, &state, &context, incarnation);
        let methods = make_methods(&state, &context, &budget.budget_router)?;
        let (server, address) = bind_server(settings.listen).await?;
        let server = server.start(methods);
        let operator = start_operator(&settings, &state, &context)?;
        let tasks = start_tasks(&settings, &state, &context, budget.escrow_manager.clone());
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
        let parts = StopParts {
            state,
            registry: context.registry,
            drain_bound: Duration::from_millis(settings.drain_bound_ms.into()),
            escrow_manager: budget.escrow_manager,
        };
        Ok(AgentProcess::new(servers, parts, tasks))
    }
}
