use std::collections::BTreeMap;

use mustardhinge_config::document::GroupEntry;
use mustardhinge_core::prelude::*;
use tokio::task::AbortHandle;

use super::group_watch::GroupWatch;
use super::{GroupContext, WatchEvent};
use crate::membership::choose_watch_rank;

/// Starts and stops group watches as documents and instances change.
pub(crate) struct WatchSupervisor {
    context: GroupContext,
    running: BTreeMap<GroupId, RunningWatch>,
}

struct RunningWatch {
    entry: GroupEntry,
    rank: u32,
    task: AbortHandle,
}

impl Drop for RunningWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl WatchSupervisor {
    /// Creates a supervisor without watches.
    pub(crate) const fn new(context: GroupContext) -> Self {
        Self {
            context,
            running: BTreeMap::new(),
        }
    }

    /// Reconciles the watches with the state, at first and after each change.
    pub(crate) async fn run(mut self) {
        let mut changes = self.context.state.subscribe();
        loop {
            changes.mark_unchanged();
            self.reconcile();
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn reconcile(&mut self) {
        let assigned = self.groups_to_watch();
        let registry = &self.context.registry;
        self.running.retain(|group, running| {
            let keep = assigned
                .get(group)
                .is_some_and(|(entry, _)| *entry == running.entry);
            if !keep {
                registry.remove(group);
            }
            keep
        });
        for (group, (entry, rank)) in assigned {
            match self.running.get_mut(&group) {
                Some(running) => set_rank(&self.context, &group, running, rank),
                None => self.start(group, entry, rank),
            }
        }
    }

    fn start(&mut self, group: GroupId, entry: GroupEntry, rank: u32) {
        let (group_watch, handle) = GroupWatch::start(&entry, rank, self.context.clone());
        self.context.registry.insert(group.clone(), handle);
        let task = tokio::spawn(group_watch.run()).abort_handle();
        self.running
            .insert(group, RunningWatch { entry, rank, task });
    }

    fn groups_to_watch(&self) -> BTreeMap<GroupId, (GroupEntry, u32)> {
        let state = &self.context.state;
        self.context.state.read(|known| {
            let groups = known.documents().map(|known| &known.document.group);
            let ranked = groups.filter_map(|entry| {
                let rank =
                    choose_watch_rank(entry, &known.instances, &state.instance, &state.zone)?;
                Some((entry.name.clone(), (entry.clone(), rank)))
            });
            ranked.collect()
        })
    }
}

fn set_rank(context: &GroupContext, group: &GroupId, running: &mut RunningWatch, rank: u32) {
    if running.rank == rank {
        return;
    }
    running.rank = rank;
    if let Some(handle) = context.registry.get(group) {
        let _ = handle.events.try_send(WatchEvent::Rank(rank));
    }
}
