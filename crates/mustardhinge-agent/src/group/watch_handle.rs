use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mustardhinge_core::failover::FailoverPhase;
use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::GroupView;
use tokio::sync::{mpsc, watch};

use super::WatchEvent;
use crate::target::TargetClient;

/// State that a group watch publishes to the rest of the agent.
#[derive(Clone, Debug)]
pub(crate) struct WatchView {
    /// The latest reports of the targets.
    pub(crate) reports: GroupView,
    /// The phase of the failover or switchover.
    pub(crate) phase: FailoverPhase,
}

/// Handle through which the rest of the agent uses a running watch.
#[derive(Clone)]
pub(crate) struct WatchHandle {
    /// Sends events to the watch.
    pub(crate) events: mpsc::Sender<WatchEvent>,
    /// The clients of the group's targets.
    pub(crate) clients: Arc<BTreeMap<TargetId, Arc<TargetClient>>>,
    /// Time without a response after which a target counts as unresponsive.
    pub(crate) unresponsive_limit: Duration,
    /// The latest published state of the watch.
    pub(crate) view: watch::Receiver<WatchView>,
}

/// The watches that run on this agent, by group.
#[derive(Default)]
pub(crate) struct WatchRegistry {
    handles: Mutex<BTreeMap<GroupId, WatchHandle>>,
}

impl WatchRegistry {
    /// Returns the watch of a group.
    pub(crate) fn get(&self, group: &GroupId) -> Option<WatchHandle> {
        self.lock().get(group).cloned()
    }

    /// Returns whether a change of primary is in progress in any group.
    pub(crate) fn is_primary_changing(&self) -> bool {
        let is_idle = |phase| matches!(phase, FailoverPhase::Watching | FailoverPhase::BackingOff);
        let handles = self.lock();
        let mut phases = handles.values().map(|handle| handle.view.borrow().phase);
        phases.any(|phase| !is_idle(phase))
    }

    /// Requests an early probe of a target that may have changed.
    pub(crate) fn hint(&self, group: &GroupId, target: &TargetId) {
        let handle = self.get(group);
        let client = handle.and_then(|handle| handle.clients.get(target).cloned());
        if let Some(client) = client {
            client.hint();
        }
    }

    pub(super) fn insert(&self, group: GroupId, handle: WatchHandle) {
        self.lock().insert(group, handle);
    }

    pub(super) fn remove(&self, group: &GroupId) {
        self.lock().remove(group);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<GroupId, WatchHandle>> {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
