use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use mustardhinge_core::membership::IntakeState;
use mustardhinge_core::prelude::*;
use mustardhinge_process::ProcessClock;
use tokio::sync::watch;
use tokio::time::timeout;

use super::CancelRegistry;
use crate::budget::BudgetTable;
use crate::control::{ControlSnapshot, ServiceRuntime};

/// Grace period after the proof of the keys expired. Requests wait during the
/// period and are refused at once after it.
const PROOF_GRACE_PERIOD: Duration = Duration::from_millis(400);

/// State shared by the tasks of all callers.
#[derive(Debug)]
pub struct EntryShared {
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Cancel keys of the callers.
    pub cancels: Arc<CancelRegistry>,
    /// Budgets of the customers.
    pub budgets: BudgetTable,
    control: watch::Receiver<Arc<ControlSnapshot>>,
    draining: watch::Sender<bool>,
    intake: watch::Sender<IntakeState>,
    callers: AtomicUsize,
    unproven_since: Mutex<Option<MonotonicTime>>,
}

impl EntryShared {
    /// Creates the shared state.
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
            intake: watch::Sender::new(IntakeState::Open),
            callers: AtomicUsize::new(0),
            unproven_since: Mutex::default(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Returns the latest control snapshot.
    #[must_use]
    pub fn control(&self) -> Arc<ControlSnapshot> {
        Arc::clone(&self.control.borrow())
    }

    /// Returns a service from the latest control snapshot.
    #[must_use]
    pub fn service(&self, service: &ServiceId) -> Option<Arc<ServiceRuntime>> {
        self.control.borrow().services.get(service).cloned()
    }

    /// Returns whether this instance is draining and accepts no new requests.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Starts or ends the drain and notifies idle sessions.
    pub fn set_draining(&self, draining: bool) {
        self.draining.send_replace(draining);
    }

    /// Returns a receiver of the drain state.
    #[must_use]
    pub fn watch_draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Returns whether callers are accepted.
    #[must_use]
    pub fn intake(&self) -> IntakeState {
        *self.intake.borrow()
    }

    /// Sets whether callers are accepted.
    pub fn set_intake(&self, state: IntakeState) {
        self.intake.send_replace(state);
    }

    /// Waits until no more callers may be accepted.
    pub async fn wait_for_closed_intake(&self) {
        let mut intake = self.intake.subscribe();
        // The sender is a part of this state, so the wait can't fail.
        let _ = intake.wait_for(|state| *state != IntakeState::Open).await;
    }

    /// Returns a receiver of control snapshots.
    #[must_use]
    pub fn watch_control(&self) -> watch::Receiver<Arc<ControlSnapshot>> {
        self.control.clone()
    }

    /// Waits for a proof of the keys younger than `max_age`.
    ///
    /// It only waits during the grace period after the proof expired, for example
    /// after a pause of the process.
    pub async fn await_proof(&self, max_age: Duration) {
        let now = self.now();
        let Some(left) = self.proof_grace(max_age, now) else {
            return;
        };
        let mut control = self.control.clone();
        let is_proven =
            |snapshot: &Arc<ControlSnapshot>| snapshot.is_proven(max_age, self.clock.now());
        let _ = timeout(left, control.wait_for(is_proven)).await;
    }

    /// Returns how long a request may wait for proof, or `None` if the keys are
    /// proven or the grace period is over.
    fn proof_grace(&self, max_age: Duration, now: MonotonicTime) -> Option<Duration> {
        let is_proven = self.control.borrow().is_proven(max_age, now);
        let mut since = self
            .unproven_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if is_proven {
            *since = None;
            return None;
        }
        let until = *since.get_or_insert(now) + PROOF_GRACE_PERIOD;
        let left = until.saturating_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the number of connected callers.
    #[must_use]
    pub fn callers(&self) -> usize {
        self.callers.load(Ordering::Relaxed)
    }

    /// Registers a caller, unless `limit` callers are connected.
    pub fn try_register(self: &Arc<Self>, limit: usize) -> Option<CallerGuard> {
        let before = self.callers.fetch_add(1, Ordering::Relaxed);
        let count = CallerGuard(Arc::clone(self));
        (before < limit).then_some(count)
    }
}

/// Guard that counts a caller as connected until it is dropped.
#[derive(Debug)]
pub struct CallerGuard(Arc<EntryShared>);

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.0.callers.fetch_sub(1, Ordering::Relaxed);
    }
}
