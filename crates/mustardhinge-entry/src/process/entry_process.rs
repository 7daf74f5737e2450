use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use mustardhinge_config::settings::EntrySettings;
use mustardhinge_core::budget::ClientId;
use mustardhinge_core::drain::{DrainCause, DrainState, DrainStep};
use mustardhinge_core::membership::IntakeState;
use mustardhinge_process::{ProcessClock, event};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::EntryShared;
use super::listener::CallerListener;
use super::tls_setup::load_acceptor;
use crate::budget::BudgetTable;
use crate::caller::StartupPhase;
use crate::control::{AgentClient, ControlLink, ControlSnapshot, EntryContext};

/// Interval at which the end of a drain, or readiness, is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which unused budget grants are returned.
const BUDGET_RETURN_INTERVAL: Duration = Duration::from_millis(50);

/// Running entry.
///
/// Dropping it without `stop` ends it at once and disconnects all callers.
#[derive(Debug)]
pub struct EntryProcess {
    shared: Arc<EntryShared>,
    address: SocketAddr,
    drain_bound: Duration,
    tasks: Vec<JoinHandle<()>>,
}

impl EntryProcess {
    pub(super) async fn start(settings: EntrySettings, traffic: Handle) -> anyhow::Result<Self> {
        let clock = ProcessClock::start();
        let listener = TcpListener::bind(settings.listen)
            .await
            .with_context(|| format!("listening at {}", settings.listen))?;
        let address = listener.local_addr()?;
        let tls = settings.tls.as_ref().map(load_acceptor).transpose()?;
        let (snapshot, control) = watch::channel(Arc::new(ControlSnapshot::default()));
        let (connection, connection_receiver) = watch::channel(None);
        let agent = AgentClient::new(connection_receiver);
        let context = EntryContext {
            zone: settings.zone.clone(),
            agent: agent.clone(),
            control: Handle::current(),
            clock,
        };
        let link = ControlLink::new(settings.agent, context, snapshot, connection);
        let budgets = budget_table(&settings, agent, clock);
        let shared = Arc::new(EntryShared::new(clock, control, budgets));
        let callers = CallerListener {
            shared: Arc::clone(&shared),
            phase: StartupPhase::new(tls),
            startup_timeout: Duration::from_millis(settings.startup_timeout_ms.into()),
            max_callers: usize::try_from(settings.max_callers).unwrap_or(usize::MAX),
        };
        let tasks = vec![
            tokio::spawn(link.run()),
            tokio::spawn(follow_drain(Arc::clone(&shared))),
            traffic.spawn(return_unused_budgets(Arc::clone(&shared))),
            traffic.spawn(callers.run(listener)),
        ];
        Ok(Self {
            shared,
            address,
            drain_bound: Duration::from_millis(settings.drain_bound_ms.into()),
            tasks,
        })
    }

    /// Returns the address on which the entry listens for callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the state shared by the tasks of all callers.
    #[must_use]
    pub fn shared(&self) -> &Arc<EntryShared> {
        &self.shared
    }

    /// Waits until the entry has at least one service and every service has a
    /// writable primary. Returns `false` if this takes longer than `max_wait`.
    pub async fn wait_until_ready(&self, max_wait: Duration) -> bool {
        let mut control = self.shared.watch_control();
        let has_service = |snapshot: &Arc<ControlSnapshot>| {
            let mut services = snapshot.services.values();
            !snapshot.services.is_empty()
                && services.all(|service| service.group().snapshot().writable_primary().is_some())
        };
        let deadline = tokio::time::Instant::now() + max_wait;
        loop {
            if has_service(&control.borrow_and_update()) {
                return true;
            }
            if tokio::time::Instant::now() >= deadline {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Stops gracefully.
    ///
    /// Requests in progress are completed and callers are disconnected between
    /// requests. When none is left, the listener is closed and callers that were
    /// accepted meanwhile get their answer. The drain bound of the settings limits
    /// the time.
    pub async fn stop(self) {
        let mut state = DrainState::new(self.drain_bound);
        state.start(DrainCause::StopSignal, self.shared.now());
        self.shared.set_draining(true);
        loop {
            // The callers are counted after the listener was seen closed.
            let intake = self.shared.intake();
            let callers = self.shared.callers();
            match state.step(callers, self.shared.now()) {
                DrainStep::Exit if intake == IntakeState::Closed => return,
                DrainStep::Exit => {
                    if intake == IntakeState::Open {
                        self.shared.set_intake(IntakeState::Closing);
                    }
                    sleep(POLL_INTERVAL).await;
                }
                DrainStep::ExitAtBound => {
                    event::DRAIN_BOUND_REACHED.log(format_args!("callers={callers}"));
                    return;
                }
                _ => sleep(POLL_INTERVAL).await,
            }
        }
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn budget_table(settings: &EntrySettings, agent: AgentClient, clock: ProcessClock) -> BudgetTable {
    let client = ClientId {
        instance: settings.instance.clone(),
        incarnation: rand::random(),
    };
    BudgetTable::new(client, settings.zone.clone(), agent, clock)
}

/// Applies the drain state that the agent reports for this instance.
async fn follow_drain(shared: Arc<EntryShared>) {
    let mut control = shared.watch_control();
    let mut was_draining = false;
    while control.changed().await.is_ok() {
        let is_draining = control.borrow_and_update().is_draining;
        if is_draining != was_draining {
            was_draining = is_draining;
            shared.set_draining(is_draining);
        }
    }
}

async fn return_unused_budgets(shared: Arc<EntryShared>) {
    loop {
        sleep(BUDGET_RETURN_INTERVAL).await;
        shared.budgets.return_unused();
    }
}
