use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::instance_list::InstanceList;
use super::{CallCounts, CallKind, InstanceEntry, ObjectStore, PlatformFaults};

/// What the calls of one platform share.
#[derive(Debug, Default)]
pub(super) struct PlatformShared {
    pub(super) faults: watch::Sender<PlatformFaults>,
    pub(super) instance_lag: watch::Sender<Duration>,
    state: Mutex<PlatformState>,
    progress: watch::Sender<()>,
    calls: Mutex<CallCounts>,
}

/// The objects and the instances.
#[derive(Debug, Default)]
pub(super) struct PlatformState {
    pub(super) store: ObjectStore,
    pub(super) instances: InstanceList,
}

impl PlatformShared {
    /// Counts one call.
    pub(super) fn count(&self, kind: CallKind) {
        self.lock_calls().add(kind);
    }

    /// Returns the counts of calls so far.
    pub(super) fn calls(&self) -> CallCounts {
        self.lock_calls().clone()
    }

    /// Reads the state as of `now`.
    pub(super) fn read<T>(&self, now: Instant, read: impl FnOnce(&PlatformState) -> T) -> T {
        let mut state = self.lock_state();
        let PlatformState { store, instances } = &mut *state;
        instances.show_due(now, || store.take_revision());
        read(&state)
    }

    /// Changes the objects and wakes the watches.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut ObjectStore) -> T) -> T {
        let result = change(&mut self.lock_state().store);
        self.progress.send_replace(());
        result
    }

    /// Changes an instance of the list, or takes it away; shown after the lag.
    pub(super) fn change_instance(
        &self,
        instance: &str,
        entry: Option<InstanceEntry>,
        now: Instant,
    ) {
        let due = now + *self.instance_lag.borrow();
        let mut state = self.lock_state();
        state.instances.change(due, instance.to_owned(), entry);
        drop(state);
        self.progress.send_replace(());
    }

    /// Waits until `read` returns something, or `deadline` has passed.
    pub(super) async fn wait_for<T>(
        &self,
        deadline: Instant,
        mut read: impl FnMut(&PlatformState) -> Option<T>,
    ) -> Option<T> {
        let mut progress = self.progress.subscribe();
        loop {
            progress.mark_unchanged();
            let now = Instant::now();
            let (found, next_due) =
                self.read(now, |state| (read(state), state.instances.next_due()));
            if found.is_some() || now >= deadline {
                return found;
            }
            let wake = next_due.map_or(deadline, |due| due.min(deadline));
            tokio::select! {
                () = tokio::time::sleep_until(wake.into()) => {}
                _ = progress.changed() => {}
            }
        }
    }

    fn lock_state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_calls(&self) -> MutexGuard<'_, CallCounts> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
