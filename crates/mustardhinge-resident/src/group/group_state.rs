use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::placement::PositionHistory;
use mustardhinge_core::prelude::{LogPosition, MonotonicTime, ServiceId, TargetId};
use mustardhinge_core::primary_lease::GroupEpoch;
use mustardhinge_core::session::SessionCommit;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::target::TargetHandle;

/// A group counts as in use for this long after a statement: several times the interval between
/// statements on a small instance.
const USE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum age of a fresh position: below the staleness that routes allow minus the interval
/// between requests to the leader.
const POSITION_MAX_AGE: Duration = Duration::from_millis(300);

/// The targets of one service, the usability of their primary and the known log positions.
#[derive(Debug)]
pub struct GroupState {
    service: ServiceId,
    targets: RefCell<Vec<Rc<TargetHandle>>>,
    history: RefCell<PositionHistory>,
    epoch: Cell<GroupEpoch>,
    unusable_since: Cell<Option<MonotonicTime>>,
    used_at: Cell<Option<MonotonicTime>>,
    is_leased: Cell<bool>,
    is_position_requested: Cell<bool>,
    primary_changed: Notify,
    epoch_ended: Notify,
    position_received: Notify,
}

impl GroupState {
    /// Creates the group of a service, without targets.
    #[must_use]
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            targets: RefCell::new(Vec::new()),
            history: RefCell::new(PositionHistory::default()),
            epoch: Cell::new(GroupEpoch::default()),
            unusable_since: Cell::new(None),
            used_at: Cell::new(None),
            is_leased: Cell::new(false),
            is_position_requested: Cell::new(false),
            primary_changed: Notify::new(),
            epoch_ended: Notify::new(),
            position_received: Notify::new(),
        }
    }

    /// Returns the service of the group.
    #[must_use]
    pub const fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Returns the listed targets.
    #[must_use]
    pub fn targets(&self) -> Vec<Rc<TargetHandle>> {
        self.targets.borrow().clone()
    }

    /// Returns a target, if it is listed.
    #[must_use]
    pub fn find(&self, target: &TargetId) -> Option<Rc<TargetHandle>> {
        let targets = self.targets.borrow();
        targets
            .iter()
            .find(|handle| handle.id() == *target)
            .cloned()
    }

    /// Adds a target.
    pub fn add(&self, handle: Rc<TargetHandle>) {
        self.targets.borrow_mut().push(handle);
    }

    /// Removes and retires a target that is no longer listed.
    pub fn remove(&self, target: &TargetId, now: MonotonicTime) {
        let mut targets = self.targets.borrow_mut();
        if let Some(index) = targets.iter().position(|handle| handle.id() == *target) {
            targets.swap_remove(index).remove(now);
        }
    }

    /// Records a position that covers all writes acknowledged before `at`, read from the
    /// primary of `epoch`. Positions of other epochs are ignored.
    pub fn observe(&self, epoch: GroupEpoch, at: MonotonicTime, position: LogPosition) {
        if epoch == self.epoch.get() {
            self.history.borrow_mut().observe(at, position);
            self.position_received.notify_waiters();
        }
    }

    /// Starts a newer epoch and clears the history, since positions of the previous epoch may have
    /// been rolled back.
    pub fn begin_epoch(&self, epoch: GroupEpoch) {
        if epoch > self.epoch.get() {
            self.epoch.set(epoch);
            self.history.borrow_mut().clear();
        }
    }

    /// Returns the latest known epoch.
    #[must_use]
    pub const fn epoch(&self) -> GroupEpoch {
        self.epoch.get()
    }

    /// Returns the lowest known position that covers all writes acknowledged before `since`.
    #[must_use]
    pub fn floor_since(&self, since: MonotonicTime) -> Option<LogPosition> {
        self.history.borrow().floor_since(since)
    }

    /// Returns the time up to which `position` covers all acknowledged writes.
    #[must_use]
    pub fn covered_until(
        &self,
        position: LogPosition,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        self.history.borrow().covered_until(position, now)
    }

    /// Returns a commit of this group that was acknowledged before `now`.
    #[must_use]
    pub fn session_commit(
        &self,
        epoch: GroupEpoch,
        position: LogPosition,
        now: MonotonicTime,
    ) -> SessionCommit {
        SessionCommit {
            service: self.service.clone(),
            epoch,
            position,
            acknowledged_at: now,
        }
    }

    /// Returns the latest position and the time up to which it covers all acknowledged writes.
    #[must_use]
    pub fn newest_position(&self) -> Option<(MonotonicTime, LogPosition)> {
        self.history.borrow().newest()
    }

    /// Records that the group received a statement.
    pub fn record_use(&self, now: MonotonicTime) {
        self.used_at.set(Some(now));
    }

    /// Returns whether the leader should send a position: the group is in use, and no recent
    /// response of the primary contained one.
    #[must_use]
    pub fn needs_position(&self, now: MonotonicTime) -> bool {
        let is_used = self
            .used_at
            .get()
            .is_some_and(|at| now.saturating_since(at) < USE_TIMEOUT);
        let is_fresh = self
            .newest_position()
            .is_some_and(|(at, _)| now.saturating_since(at) < POSITION_MAX_AGE);
        is_used && !is_fresh
    }

    /// Records whether the primary can be used. Wakes the tasks in
    /// [`primary_changed`](Self::primary_changed) if it can.
    pub fn set_usable(&self, usable: bool, now: MonotonicTime) {
        match (usable, self.unusable_since.get()) {
            (true, _) => {
                self.unusable_since.set(None);
                self.primary_changed.notify_waiters();
            }
            (false, None) => self.unusable_since.set(Some(now)),
            (false, Some(_)) => {}
        }
    }

    /// Records whether this instance holds a lease on the primary. Returns whether that changed.
    pub fn set_leased(&self, is_leased: bool) -> bool {
        self.is_leased.replace(is_leased) != is_leased
    }

    /// Returns the time since which the primary can't be used, if it can't.
    #[must_use]
    pub const fn unusable_since(&self) -> Option<MonotonicTime> {
        self.unusable_since.get()
    }

    /// Waits for the next report that the primary can be used.
    pub async fn primary_changed(&self) {
        self.primary_changed.notified().await;
    }

    /// Wakes the tasks that wait for the end of an epoch.
    pub fn notify_epoch_ended(&self) {
        self.epoch_ended.notify_waiters();
    }

    /// Returns a future that completes when an epoch is next reported as ended.
    pub fn epoch_ended(&self) -> Notified<'_> {
        self.epoch_ended.notified()
    }

    /// Waits for the next position, or for the end of the request for one.
    pub async fn position_received(&self) {
        self.position_received.notified().await;
    }

    /// Marks a position request as in flight. Returns false if one already was.
    pub fn begin_position_request(&self) -> bool {
        !self.is_position_requested.replace(true)
    }

    /// Marks the position request as finished and wakes the waiting tasks.
    pub fn end_position_request(&self) {
        self.is_position_requested.set(false);
        self.position_received.notify_waiters();
    }
}
