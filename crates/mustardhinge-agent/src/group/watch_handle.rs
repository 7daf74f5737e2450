use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mustardhinge_core::failover::FailoverPhase;
use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::GroupView;
use tokio::sync::{mpsc, watch};

use super::WatchEvent;
use crate::target::TargetClient;

/// What a watch of a group shows to the rest of the agent.
#[derive(Clone, Debug)]
pub(crate) struct WatchView {
    /// The newest reports of the targets.
    pub(crate) reports: GroupView,
    /// How far a change of primary is.
    pub(crate) phase: FailoverPhase,
}

/// A running watch, as the rest of the agent sees it.
#[derive(Clone)]
pub(crate) struct WatchHandle {
    /// Where events for the watch go.
    pub(crate) events: mpsc::Sender<WatchEvent>,
    /// The clients to the targets.
    pub(crate) clients: Arc<BTreeMap<TargetId, Arc<TargetClient>>>,
    /// The silence after which a target no longer counts as heard.
    pub(crate) unresponsive_limit: Duration,
    /// What the watch shows.
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

    /// Returns whether a change of primary is under way in any group.
    pub(crate) fn is_primary_changing(&self) -> bool {
        let is_idle = |phase| matches!(phase, FailoverPhase::Watching | FailoverPhase::BackingOff);
        let handles = self.lock();
        let mut phases = handles.values().map(|handle| handle.view.borrow().phase);
        phases.any(|phase| !is_idle(phase))
    }

    /// Hints that a target may have changed.
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
