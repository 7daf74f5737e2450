use std::sync::Arc;

use mustardhinge_core::prelude::*;

use super::{LeasedWork, TargetConnection, TargetPool};

/// Exclusive lease of a connection and of one of the target's slots.
///
/// Dropping the lease without `release` closes the connection and frees the
/// slot.
#[derive(Debug)]
pub struct TargetLease {
    pool: Arc<TargetPool>,
    connection: Option<TargetConnection>,
    acquired_at: MonotonicTime,
    work: Option<LeasedWork>,
}

impl TargetLease {
    /// Creates a lease of a slot; the connection is set later.
    #[must_use]
    pub(super) fn new(pool: Arc<TargetPool>, acquired_at: MonotonicTime) -> Self {
        Self {
            pool,
            connection: None,
            acquired_at,
            work: None,
        }
    }

    /// Sets the connection of the lease.
    pub(super) fn set_connection(&mut self, connection: TargetConnection) {
        self.connection = Some(connection);
    }

    /// Sets the work that the connection is used for, to measure its slot time.
    pub(super) fn set_work(&mut self, work: Option<LeasedWork>) {
        self.work = work;
    }

    /// Returns the connection.
    ///
    /// # Panics
    ///
    /// Panics if no connection was set. The pool sets one before it returns the
    /// lease.
    pub fn connection(&mut self) -> &mut TargetConnection {
        self.connection.as_mut().expect("a lease has a connection")
    }

    /// Returns the pool.
    #[must_use]
    pub fn pool(&self) -> &Arc<TargetPool> {
        &self.pool
    }

    /// Returns the time when the slot was acquired.
    #[must_use]
    pub fn acquired_at(&self) -> MonotonicTime {
        self.acquired_at
    }

    /// Returns the connection to the pool.
    ///
    /// The last response must be complete and no transaction may be open.
    pub fn release(mut self, now: MonotonicTime) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        connection.mark_used(now);
        if !connection.should_close() {
            self.pool.add_idle(connection);
        }
    }
}

impl Drop for TargetLease {
    fn drop(&mut self) {
        self.connection = None;
        self.pool.release_slot(self.acquired_at, self.work);
    }
}
