use std::sync::Arc;

use mustardhinge_core::prelude::*;

use super::{TargetConnection, TargetPool};

/// A connection lent to one transaction, with its place among the target's
/// statements.
///
/// Dropped without `give_back`, the connection is closed and the place freed.
#[derive(Debug)]
pub struct TargetLease {
    pool: Arc<TargetPool>,
    connection: Option<TargetConnection>,
    lent_at: MonotonicTime,
}

impl TargetLease {
    /// Makes a lease of a place whose connection is still to come.
    #[must_use]
    pub(super) fn new(pool: Arc<TargetPool>, lent_at: MonotonicTime) -> Self {
        Self {
            pool,
            connection: None,
            lent_at,
        }
    }

    /// Puts the connection into the lease.
    pub(super) fn set_connection(&mut self, connection: TargetConnection) {
        self.connection = Some(connection);
    }

    /// Returns the connection.
    ///
    /// # Panics
    ///
    /// Never: a lease leaves the pool with its connection.
    pub fn connection(&mut self) -> &mut TargetConnection {
        self.connection.as_mut().expect("a lease has a connection")
    }

    /// Returns the pool.
    #[must_use]
    pub fn pool(&self) -> &Arc<TargetPool> {
        &self.pool
    }

    /// Returns when the connection was lent.
    #[must_use]
    pub fn lent_at(&self) -> MonotonicTime {
        self.lent_at
    }

    /// Returns a clean connection to the pool: it gave a whole answer and is
    /// outside any transaction.
    pub fn give_back(mut self, now: MonotonicTime) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        connection.mark_used(now);
        if !connection.is_worn() {
            self.pool.keep(connection);
        }
    }
}

impl Drop for TargetLease {
    fn drop(&mut self) {
        self.connection = None;
        self.pool.release(self.lent_at);
    }
}
