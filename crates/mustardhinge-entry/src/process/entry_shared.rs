use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use mustardhinge_core::prelude::*;
use mustardhinge_process::ProcessClock;
use tokio::sync::watch;

use super::CancelRegistry;
use crate::budget::BudgetTable;
use crate::control::{ControlSnapshot, ServiceRuntime};

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
