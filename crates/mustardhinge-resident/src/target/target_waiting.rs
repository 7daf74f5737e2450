//! Statements that wait for a target, under overload control: checks without another event, and
//! the end of their wait if the target can't be used any more.

use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::evacuation::TargetUse;
use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_process::BootClock;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{ConnectionError, ConnectionRequest, TargetHandle};

/// Maximum interval between two checks while statements wait; the time for which a transaction is
/// idle at least before it may be ended.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl TargetHandle {
    /// Refuses a request at a target whose zone is evacuated, so that it neither waits nor opens a
    /// connection.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing may be sent to the target.
    pub(super) fn check_use(
        &self,
        request: &ConnectionRequest,
        now: MonotonicTime,
    ) -> Result<(), ConnectionError> {
        if request.weight.is_some() && self.target_use(now).is_evacuated() {
            return Err(ConnectionError::Evacuated);
        }
        Ok(())
    }

    /// Ends the wait of all statements once the target's zone is evacuated.
    pub fn reject_evacuated(&self, now: MonotonicTime) {
        self.waiting_watch.changed.notify_waiters();
        self.reject_if_evacuated(now);
    }

    fn reject_if_evacuated(&self, now: MonotonicTime) {
        if self.is_overload_controlled() && self.target_use(now).is_evacuated() {
            self.queue.reject_all(now);
        }
    }

    /// Checks while statements wait under overload control whether a transaction has become idle
    /// for long enough or the target's zone is evacuated, since no other event tells.
    pub(super) fn watch_waiting(self: &Rc<Self>, request: &ConnectionRequest, clock: BootClock) {
        if request.weight.is_none() || self.waiting_watch.is_running.replace(true) {
            return;
        }
        let target = Rc::clone(self);
        spawn_local(async move {
            while !target.queue.is_empty() {
                let wait = target.next_check(clock.now());
                // After a timeout, the checks are due.
                let _ = timeout(wait, target.waiting_watch.changed.notified()).await;
                let now = clock.now();
                target.reject_if_evacuated(now);
                target.grant_waiting(now);
            }
            target.waiting_watch.is_running.set(false);
        });
    }

    fn next_check(&self, now: MonotonicTime) -> Duration {
        let evacuated_from = self.evacuated_since.get().map(TargetUse::evacuated_from);
        let times = [evacuated_from, self.idle.next_end(now)];
        let times = times.into_iter().flatten().filter(|at| *at > now);
        let wait = times.map(|at| at.saturating_since(now)).min();
        wait.unwrap_or(MAX_CHECK_INTERVAL).min(MAX_CHECK_INTERVAL)
    }
}
