use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{MissedTickBehavior, interval};

use super::exchange_loop::{ExchangeLoop, PeerAddress};
use crate::membership::choose_role;
use crate::platform::{PlatformClient, watch_documents, watch_instances};
use crate::state::SharedState;

/// Interval at which the role is recomputed without a change of the state.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Starts and stops the agent's peer exchanges and its watches of the platform as
/// instances join and leave.
pub(crate) struct RoleSupervisor {
    state: Arc<SharedState>,
    platform: PlatformClient,
    bootstrap: Vec<SocketAddr>,
    wait: Duration,
    exchanges: BTreeMap<PeerAddress, AbortHandle>,
    watches: JoinSet<()>,
}

impl RoleSupervisor {
    /// Creates a supervisor; each exchange waits up to `wait` for an update.
    pub(crate) fn new(
        state: Arc<SharedState>,
        platform: PlatformClient,
        bootstrap: Vec<SocketAddr>,
        wait: Duration,
    ) -> Self {
        Self {
            state,
            platform,
            bootstrap,
            wait,
            exchanges: BTreeMap::new(),
            watches: JoinSet::new(),
        }
    }

    /// Recomputes the role at each change of the state and at `REVIEW_INTERVAL`, in
    /// a loop.
    pub(crate) async fn run(mut self) {
        let mut changes = self.state.subscribe();
        let mut ticks = interval(REVIEW_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.reconcile();
            tokio::select! {
                _ = changes.changed() => {}
                _ = ticks.tick() => {}
            }
        }
    }

    fn reconcile(&mut self) {
        let now = self.state.now();
        let role = self
            .state
            .read(|known| choose_role(known, &self.state, now));
        let is_listed = self.state.read(|known| known.instances.revision > 0);
        let is_relay = role.is_relay();
        let mut wanted = role.into_peers();
        let has_reachable_peer = self.state.read(|known| known.has_reachable_peer(&wanted));
        self.set_watches(is_relay || !is_listed || !has_reachable_peer);
        if !is_listed {
            wanted.extend(self.bootstrap_peers());
        }
        self.set_exchanges(&wanted);
    }

    fn set_watches(&mut self, is_watching: bool) {
        if !is_watching {
            self.watches.abort_all();
            while self.watches.try_join_next().is_some() {}
            return;
        }
        if self.watches.is_empty() {
            let (platform, state) = (self.platform.clone(), self.state.clone());
            self.watches.spawn(watch_documents(platform, state));
            let (platform, state) = (self.platform.clone(), self.state.clone());
            self.watches.spawn(watch_instances(platform, state));
        }
    }

    fn set_exchanges(&mut self, wanted: &[PeerAddress]) {
        self.exchanges.retain(|peer, task| {
            let keep = wanted.contains(peer);
            if !keep {
                task.abort();
            }
            keep
        });
        for peer in wanted {
            if self.exchanges.contains_key(peer) {
                continue;
            }
            let exchange = ExchangeLoop::new(self.state.clone(), peer.clone(), self.wait);
            if let Some(exchange) = exchange {
                let task = tokio::spawn(exchange.run()).abort_handle();
                self.exchanges.insert(peer.clone(), task);
            }
        }
    }

    fn bootstrap_peers(&self) -> impl Iterator<Item = PeerAddress> {
        self.bootstrap.iter().map(|address| PeerAddress {
            instance: None,
            zone: None,
            address: *address,
        })
    }
}

impl Drop for RoleSupervisor {
    fn drop(&mut self) {
        for task in self.exchanges.values() {
            task.abort();
        }
    }
}
