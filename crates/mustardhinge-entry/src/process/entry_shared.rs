use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_process::ProcessClock;
use tokio::sync::watch;
use tokio::time::timeout;

use super::CancelRegistry;
use crate::budget::BudgetTable;
use crate::control::{ControlSnapshot, ServiceRuntime};

/// How long requests wait for proof of their keys once it has run out; after
/// that they are refused at once.
const PROOF_GRACE: Duration = Duration::from_millis(400);

/// What all callers' tasks share.
#[derive(Debug)]
pub struct EntryShared {
    /// The clock.
    pub clock: ProcessClock,
    /// The cancel keys.
    pub cancels: Arc<CancelRegistry>,
    /// The customers' budgets.
    pub budgets: BudgetTable,
    control: watch::Receiver<Arc<ControlSnapshot>>,
    draining: watch::Sender<bool>,
    callers: AtomicUsize,
    unproven_since: Mutex<Option<MonotonicTime>>,
}

impl EntryShared {
    /// Makes the shared state.
    #[must_use]
    pub fn new(
        clock: ProcessClock,
        control: watch::Receiver<Arc<ControlSnapshot>>,
        budgets: BudgetTable,
    ) -> Self {
        Self {
            clock,
            cancels: Arc::new(CancelRegistry::default()),
            budgets,
            control,
            draining: watch::Sender::new(false),
            callers: AtomicUsize::new(0),
            unproven_since: Mutex::default(),
        }
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Returns the newest control state.
    #[must_use]
    pub fn control(&self) -> Arc<ControlSnapshot> {
        Arc::clone(&self.control.borrow())
    }

    /// Returns a service by the newest control state.
    #[must_use]
    pub fn service(&self, service: &ServiceId) -> Option<Arc<ServiceRuntime>> {
        self.control.borrow().services.get(service).cloned()
    }

    /// Tells whether this instance takes no new work.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Starts or ends the drain; waiting callers are woken.
    pub fn set_draining(&self, draining: bool) {
        self.draining.send_replace(draining);
    }

    /// Returns a receiver that tells when the drain begins.
    #[must_use]
    pub fn watch_draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Returns a receiver of the control state.
    #[must_use]
    pub fn watch_control(&self) -> watch::Receiver<Arc<ControlSnapshot>> {
        self.control.clone()
    }

    /// Waits for proof of the keys younger than `bound`, if it ran out only now,
    /// as after a pause of the process.
    pub async fn await_proof(&self, bound: Duration) {
        let now = self.now();
        let Some(left) = self.proof_grace(bound, now) else {
            return;
        };
        let mut control = self.control.clone();
        let is_proven =
            |snapshot: &Arc<ControlSnapshot>| snapshot.is_proven(bound, self.clock.now());
        let _ = timeout(left, control.wait_for(is_proven)).await;
    }

    /// Returns how long a request may wait for proof; none if there is proof, or
    /// there has been none for longer than the grace.
    fn proof_grace(&self, bound: Duration, now: MonotonicTime) -> Option<Duration> {
        let is_proven = self.control.borrow().is_proven(bound, now);
        let mut since = self
            .unproven_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if is_proven {
            *since = None;
            return None;
        }
        let until = *since.get_or_insert(now) + PROOF_GRACE;
        let left = until.saturating_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the number of connected callers.
    #[must_use]
    pub fn callers(&self) -> usize {
        self.callers.load(Ordering::Relaxed)
    }

    /// Counts a caller in, unless there are `limit` already.
    pub fn try_enter(self: &Arc<Self>, limit: usize) -> Option<CallerCount> {
        let before = self.callers.fetch_add(1, Ordering::Relaxed);
        let count = CallerCount(Arc::clone(self));
        (before < limit).then_some(count)
    }
}

/// One counted caller; counted out when dropped.
#[derive(Debug)]
pub struct CallerCount(Arc<EntryShared>);

impl Drop for CallerCount {
    fn drop(&mut self) {
        self.0.callers.fetch_sub(1, Ordering::Relaxed);
    }
}
