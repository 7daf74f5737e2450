use std::cell::{Cell, RefCell};
use std::rc::Rc;

use mustardhinge_core::connection::{
    ConnectionHoldings, IdleTransaction, IdleTransactions, SharedLimit, TransactionNumber,
};
use mustardhinge_core::prelude::{CustomerId, MonotonicTime};
use mustardhinge_core::queue::CustomerWeight;

use super::TargetConnection;
use super::connection_hold::ConnectionHold;

/// The connections of a target that are held by idle transactions, under overload control.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    idle: RefCell<IdleTransactions<Box<TargetConnection>>>,
    holdings: Rc<RefCell<ConnectionHoldings>>,
    total_weight: Cell<u64>,
}

impl IdleConnections {
    /// Sets the sum of the weights of all customers.
    pub(super) fn set_total_weight(&self, total_weight: u64) {
        self.total_weight.set(total_weight);
    }

    /// Counts a connection of a customer until the result is dropped.
    pub(super) fn hold(&self, customer: &CustomerId) -> ConnectionHold {
        ConnectionHold::begin(&self.holdings, customer)
    }

    /// Stores the connection of a transaction until its next statement.
    pub(super) fn park(
        &self,
        connection: Box<TargetConnection>,
        weight: CustomerWeight,
        now: MonotonicTime,
    ) -> TransactionNumber {
        self.idle.borrow_mut().insert(IdleTransaction {
            customer: connection.customer.clone(),
            weight,
            since: now,
            connection,
        })
    }

    /// Returns the connection of a transaction, or `None` if the transaction has been ended.
    pub(super) fn take(&self, number: TransactionNumber) -> Option<Box<TargetConnection>> {
        self.idle.borrow_mut().take(number)
    }

    /// Returns whether a transaction is still idle.
    pub(super) fn contains(&self, number: TransactionNumber) -> bool {
        self.idle.borrow().contains(number)
    }

    /// Removes and returns the transaction to end, if there is one, out of `limit` connections.
    pub(super) fn end_one(
        &self,
        limit: usize,
        now: MonotonicTime,
    ) -> Option<IdleTransaction<Box<TargetConnection>>> {
        let limit = SharedLimit {
            connections: limit,
            total_weight: self.total_weight.get(),
        };
        let holdings = self.holdings.borrow();
        self.idle.borrow_mut().end_one(&holdings, limit, now)
    }

    /// Returns the next time at which another transaction may be ended.
    pub(super) fn next_end(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.idle.borrow().next_end(now)
    }
}
