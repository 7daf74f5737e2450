use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::placement::PositionHistory;
use mustardhinge_core::prelude::{LogPosition, MonotonicTime, ServiceId, TargetId};
use mustardhinge_core::primary_lease::GroupEpoch;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::target::TargetHandle;

/// A group counts as used for this long after a statement; several pauses between statements
/// of a small instance.
const USE_TIMEOUT: Duration = Duration::from_secs(5);
/// A position is fresh for this long: less than the ages that routes allow, less the pause
/// until the next ask.
const POSITION_MAX_AGE: Duration = Duration::from_millis(300);

/// The targets of one service and what is known of their log.
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
    /// Makes the group of a service, without targets.
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

    /// Returns the service.
    #[must_use]
    pub const fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Returns the targets in use.
    #[must_use]
    pub fn targets(&self) -> Vec<Rc<TargetHandle>> {
        self.targets.borrow().clone()
    }

    /// Finds a target.
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

    /// Removes a target that is gone.
    pub fn remove(&self, target: &TargetId, now: MonotonicTime) {
        let mut targets = self.targets.borrow_mut();
        if let Some(index) = targets.iter().position(|handle| handle.id() == *target) {
            targets.swap_remove(index).retire(now);
        }
    }

    /// Takes a position that covers all writes acknowledged before `at`, seen at the
    /// primary of `epoch`.
    pub fn observe(&self, epoch: GroupEpoch, at: MonotonicTime, position: LogPosition) {
        if epoch == self.epoch.get() {
            self.history.borrow_mut().observe(at, position);
            self.position_received.notify_waiters();
        }
    }

    /// Begins a new epoch: positions of the one before may have been rolled back.
    pub fn begin_epoch(&self, epoch: GroupEpoch) {
        if epoch > self.epoch.get() {
            self.epoch.set(epoch);
            self.history.borrow_mut().clear();
        }
    }

    /// Returns the newest epoch.
    #[must_use]
    pub const fn epoch(&self) -> GroupEpoch {
        self.epoch.get()
    }

    /// Returns the least position that covers all writes acknowledged before `since`.
    #[must_use]
    pub fn floor_since(&self, since: MonotonicTime) -> Option<LogPosition> {
        self.history.borrow().floor_since(since)
    }

    /// Returns the time before which all that was acknowledged is covered by `position`.
    #[must_use]
    pub fn covered_until(
        &self,
        position: LogPosition,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        self.history.borrow().covered_until(position, now)
    }

    /// Returns the newest position and the time that it covers.
    #[must_use]
    pub fn newest_position(&self) -> Option<(MonotonicTime, LogPosition)> {
        self.history.borrow().newest()
    }

    /// Notes that a statement came for the group.
    pub fn record_use(&self, now: MonotonicTime) {
        self.used_at.set(Some(now));
    }

    /// Returns whether the holder should tell a position: statements come, and none of the
    /// primary's answers brought one lately.
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

    /// Notes whether the primary can be used, and wakes those who wait for a change.
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

    /// Notes whether the use of the primary is lent to this instance. Returns whether that
    /// changed.
    pub fn set_leased(&self, is_leased: bool) -> bool {
        self.is_leased.replace(is_leased) != is_leased
    }

    /// Returns since when the primary can't be used.
    #[must_use]
    pub const fn unusable_since(&self) -> Option<MonotonicTime> {
        self.unusable_since.get()
    }

    /// Waits until something about the primary changes.
    pub async fn primary_changed(&self) {
        self.primary_changed.notified().await;
    }

    /// Wakes those whose work at the primary counts no more.
    pub fn notify_epoch_ended(&self) {
        self.epoch_ended.notify_waiters();
    }

    /// Waits until an epoch is said to have ended.
    pub fn epoch_ended(&self) -> Notified<'_> {
        self.epoch_ended.notified()
    }

    /// Waits until a position came.
    pub async fn position_received(&self) {
        self.position_received.notified().await;
    }

    /// Marks that the position is being asked for. Returns whether it was not before.
    pub fn begin_position_request(&self) -> bool {
        !self.is_position_requested.replace(true)
    }

    /// Marks that the position was asked for.
    pub fn end_position_request(&self) {
        self.is_position_requested.set(false);
        self.position_received.notify_waiters();
    }
}
