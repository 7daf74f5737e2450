use std::collections::BTreeMap;
use std::sync::Arc;

use mustardhinge_config::document::GroupEntry;
use mustardhinge_core::prelude::*;
use tokio::task::AbortHandle;

use super::group_watch::GroupWatch;
use super::target_probe::ProbeTiming;
use crate::state::SharedState;

/// Starts and stops watches as documents and instances change.
pub(crate) struct WatchSupervisor {
    state: Arc<SharedState>,
    timing: ProbeTiming,
    running: BTreeMap<GroupId, RunningWatch>,
}

struct RunningWatch {
    entry: GroupEntry,
    task: AbortHandle,
}

impl Drop for RunningWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl WatchSupervisor {
    /// Makes a supervisor without watches.
    pub(crate) const fn new(state: Arc<SharedState>, timing: ProbeTiming) -> Self {
        Self {
            state,
            timing,
            running: BTreeMap::new(),
        }
    }

    /// Follows the documents for as long as it is polled.
    pub(crate) async fn run(mut self) {
        let mut changes = self.state.subscribe();
        loop {
            changes.mark_unchanged();
            self.adjust();
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn adjust(&mut self) {
        let wanted = self.wanted_groups();
        self.running
            .retain(|group, running| wanted.get(group) == Some(&running.entry));
        for (group, entry) in wanted {
            if self.running.contains_key(&group) {
                continue;
            }
            let watch = GroupWatch::start(&entry, self.timing, self.state.clone());
            let task = tokio::spawn(watch.run()).abort_handle();
            self.running.insert(group, RunningWatch { entry, task });
        }
    }

    fn wanted_groups(&self) -> BTreeMap<GroupId, GroupEntry> {
        self.state.read(|known| {
            let groups = known.documents().map(|known| &known.document.group);
            groups
                .map(|entry| (entry.name.clone(), entry.clone()))
                .collect()
        })
    }
}
