use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use mustardhinge_core::connection::UseFrequency;
use mustardhinge_core::prelude::{CustomerId, MonotonicTime};

use super::TargetConnection;

/// Time after which an idle connection is closed; targets close theirs after about a minute.
const IDLE_TIMEOUT: Duration = Duration::from_secs(40);

/// Decayed use count below which a customer is no longer tracked.
const MIN_TRACKED_USES: f64 = 0.01;

/// Pool of the connections from this instance to one target.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    idle: RefCell<Vec<TargetConnection>>,
    open: Cell<usize>,
    limit: Cell<usize>,
    reduced_until: Cell<MonotonicTime>,
    reduced_limit: Cell<usize>,
    uses: RefCell<HashMap<CustomerId, UseFrequency>>,
}

impl ConnectionPool {
    /// Creates a pool with a limit of one connection.
    pub(super) fn new() -> Self {
        Self {
            idle: RefCell::new(Vec::new()),
            open: Cell::new(0),
            limit: Cell::new(1),
            reduced_until: Cell::default(),
            reduced_limit: Cell::new(0),
            uses: RefCell::default(),
        }
    }

    /// Sets the maximum number of open connections.
    pub(super) fn set_limit(&self, limit: usize, now: MonotonicTime) {
        self.limit.set(limit.max(1));
        // Other instances may open as many connections as are closed here.
        while self.open.get() > self.limit.get() && self.close_least_used(now) {}
    }

    /// Returns whether the customer has an idle connection.
    pub(super) fn has_idle(&self, customer: &CustomerId) -> bool {
        let idle = self.idle.borrow();
        idle.iter()
            .any(|connection| connection.customer == *customer)
    }

    /// Limits the pool to its current size until `until`, after the target reported too many
    /// connections. A new connection for one customer then replaces an idle one of another.
    ///
    /// Returns whether the limit was not already reduced.
    pub(super) fn reduce_limit(&self, until: MonotonicTime, now: MonotonicTime) -> bool {
        // The open count still includes the connection that was just refused.
        self.reduced_limit.set(self.open.get().saturating_sub(1));
        self.reduced_until.replace(until) <= now
    }

    /// Returns the maximum number of open connections at `now`.
    fn current_limit(&self, now: MonotonicTime) -> usize {
        if now < self.reduced_until.get() {
            self.limit.get().min(self.reduced_limit.get())
        } else {
            self.limit.get()
        }
    }

    /// Returns the limit if the pool has reached it, all connections are in use and closing one makes
    /// room for another.
    pub(super) fn full_limit(&self, now: MonotonicTime) -> Option<usize> {
        let is_full = self.open.get() == self.current_limit(now) && self.idle.borrow().is_empty();
        is_full.then(|| self.limit.get())
    }

    /// Returns whether a connection is idle or may be opened.
    pub(super) fn has_capacity(&self, now: MonotonicTime) -> bool {
        let idle = self.idle.borrow().len();
        let used = self.open.get() - idle;
        idle > 0 || used < self.current_limit(now)
    }

    /// Returns whether the customer has an idle connection, or one may be opened for it, if need be
    /// in place of an idle one of another customer.
    pub(super) fn can_lease(&self, customer: &CustomerId, now: MonotonicTime) -> bool {
        let idle = self.idle.borrow();
        let used = self.open.get() - idle.len();
        let has_own = idle.iter().any(|connection| {
            connection.customer == *customer
                && now.saturating_since(connection.used_at) < IDLE_TIMEOUT
        });
        has_own || used < self.current_limit(now)
    }

    /// Records that a customer used the target.
    pub(super) fn record_use(&self, customer: &CustomerId, now: MonotonicTime) {
        let mut uses = self.uses.borrow_mut();
        match uses.get_mut(customer) {
            Some(known) => known.record_use(now),
            None => {
                uses.retain(|_, known| known.decayed_uses(now) > MIN_TRACKED_USES);
                uses.entry(customer.clone()).or_default().record_use(now);
            }
        }
    }

    /// Removes and returns an idle connection of the customer, preferably one that the session used
    /// before.
    pub(super) fn take_idle(
        &self,
        customer: &CustomerId,
        session: u64,
        now: MonotonicTime,
    ) -> Option<TargetConnection> {
        self.close_where(|connection| now.saturating_since(connection.used_at) >= IDLE_TIMEOUT);
        let mut idle = self.idle.borrow_mut();
        loop {
            let is_same_customer = |connection: &TargetConnection| connection.customer == *customer;
            let same_session = idle.iter().position(|connection| {
                is_same_customer(connection) && connection.session == session
            });
            let index = same_session.or_else(|| idle.iter().rposition(is_same_customer))?;
            let connection = idle.swap_remove(index);
            if !connection.is_stale() {
                return Some(connection);
            }
            self.record_closed();
        }
    }

    /// Reserves one more connection, closing idle ones of the least active customers if the limit
    /// is reached. Returns whether the reservation succeeded.
    pub(super) fn reserve(&self, now: MonotonicTime) -> bool {
        // After the limit was lowered, more than one may have to be closed.
        while self.open.get() >= self.current_limit(now) {
            if !self.close_least_used(now) {
                return false;
            }
        }
        self.open.set(self.open.get() + 1);
        true
    }

    /// Closes an idle connection of the least active customer. Returns whether one was idle.
    fn close_least_used(&self, now: MonotonicTime) -> bool {
        let Some(index) = self.least_used(now) else {
            return false;
        };
        self.idle.borrow_mut().swap_remove(index);
        self.record_closed();
        true
    }

    fn least_used(&self, now: MonotonicTime) -> Option<usize> {
        let (idle, uses) = (self.idle.borrow(), self.uses.borrow());
        let use_frequency = |index: &usize| {
            let known = uses.get(&idle[*index].customer);
            known.map_or(0.0, |known| known.decayed_uses(now))
        };
        (0..idle.len())
            .min_by(|first, second| use_frequency(first).total_cmp(&use_frequency(second)))
    }

    /// Adds an idle connection.
    pub(super) fn add_idle(&self, connection: TargetConnection) {
        self.idle.borrow_mut().push(connection);
    }

    /// Decrements the count of open connections.
    pub(super) fn record_closed(&self) {
        self.open.set(self.open.get().saturating_sub(1));
    }

    /// Closes all idle connections.
    pub(super) fn close_idle(&self) {
        self.close_where(|_| true);
    }

    fn close_where(&self, should_close: impl Fn(&TargetConnection) -> bool) {
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|connection| !should_close(connection));
        let closed = before - idle.len();
        self.open.set(self.open.get().saturating_sub(closed));
    }
}
