//! Connections of idle transactions, which are closed if other statements need them.

use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_process::event;

use super::{ConnectionRequest, TargetHandle};

impl TargetHandle {
    /// Sets the sum of the weights of all customers, by which they share the connections.
    pub fn set_total_weight(&self, total_weight: u64) {
        self.idle.set_total_weight(total_weight);
    }

    /// Reserves one more connection for a request, ending an idle transaction if the limit is
    /// reached. Returns whether the reservation succeeded.
    pub(super) fn reserve_connection(
        &self,
        request: &ConnectionRequest,
        now: MonotonicTime,
    ) -> bool {
        self.connections.reserve(now)
            || request.weight.is_some()
                && self.end_idle_transaction(now)
                && self.connections.reserve(now)
    }

    /// Returns whether a connection is available to a waiting statement, ending an idle transaction
    /// if necessary.
    pub(super) fn has_connection_for_waiting(&self, now: MonotonicTime) -> bool {
        if self.connections.has_capacity(now) {
            return true;
        }
        if !self.is_overload_controlled() {
            return false;
        }
        // No transaction is ended for a statement that is too late anyway.
        self.queue.refuse_expired(now);
        !self.queue.is_empty() && self.end_idle_transaction(now)
    }

    /// Ends an idle transaction if that makes room for a connection. Returns whether one was ended.
    ///
    /// Its connection is closed, upon which the target rolls it back.
    fn end_idle_transaction(&self, now: MonotonicTime) -> bool {
        let Some(limit) = self.connections.full_limit(now) else {
            return false;
        };
        let Some(ended) = self.idle.end_one(limit, now) else {
            return false;
        };
        metrics::counter!(
            "resident_ended_transactions_total", "reason" => "connection_needed"
        )
        .increment(1);
        event::TRANSACTION_ENDED.log(format_args!(
            "request={} customer={} target={} idle_ms={} cause=connection_needed",
            String::from_utf8_lossy(&ended.connection.last_request),
            ended.customer,
            self.id(),
            now.saturating_since(ended.since).as_millis()
        ));
        drop(ended);
        self.connections.record_closed();
        true
    }
}
