use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::{ConnectionHoldings, IdleTransaction, SharedLimit, TransactionNumber};
use crate::ids::CustomerId;
use crate::units::MonotonicTime;

/// Time for which a transaction is idle before it may be ended; far longer than a caller takes
/// between two statements unless it waits for something else.
const MIN_IDLE: Duration = Duration::from_millis(250);

/// The idle transactions of one pool of connections, and the decision which of them is ended if
/// another statement needs a connection.
///
/// A transaction is only listed between two statements. One with a statement in flight, also an
/// unanswered commit, has been taken out and can't be ended.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::connection::{
///     ConnectionHoldings, IdleTransaction, IdleTransactions, SharedLimit,
/// };
/// use mustardhinge_core::prelude::{CustomerId, MonotonicTime};
/// use mustardhinge_core::queue::CustomerWeight;
///
/// let customer: CustomerId = "seeb".parse().unwrap();
/// let mut holdings = ConnectionHoldings::default();
/// let mut idle = IdleTransactions::default();
/// for millis in [0, 100] {
///     holdings.record_opened(&customer);
///     idle.insert(IdleTransaction {
///         customer: customer.clone(),
///         weight: CustomerWeight::LOWEST,
///         since: MonotonicTime::from_millis(millis),
///         connection: millis,
///     });
/// }
/// let limit = SharedLimit { connections: 2, total_weight: 100 };
/// let mut end_at = |millis| idle.end_one(&holdings, limit, MonotonicTime::from_millis(millis));
/// assert_eq!(end_at(249), None);
/// assert_eq!(end_at(250).unwrap().connection, 0);
/// ```
#[derive(Clone, Debug)]
pub struct IdleTransactions<T> {
    transactions: BTreeMap<TransactionNumber, IdleTransaction<T>>,
    next_number: TransactionNumber,
}

impl<T> IdleTransactions<T> {
    /// Adds a transaction whose statement was answered.
    pub fn insert(&mut self, transaction: IdleTransaction<T>) -> TransactionNumber {
        let number = self.next_number.allocate();
        self.transactions.insert(number, transaction);
        number
    }

    /// Removes a transaction for its next statement, or since its caller ends it. Returns `None` if
    /// it has been ended.
    pub fn take(&mut self, number: TransactionNumber) -> Option<T> {
        Some(self.transactions.remove(&number)?.connection)
    }

    /// Returns whether a transaction is still idle.
    #[must_use]
    pub fn contains(&self, number: TransactionNumber) -> bool {
        self.transactions.contains_key(&number)
    }

    /// Returns the number of idle transactions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.transactions.len()
    }

    /// Returns whether no transaction is idle.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.transactions.is_empty()
    }

    /// Removes the transaction to end for a statement that needs a connection: among the customers
    /// that hold more than their share, the one that has been idle for longest of the customer
    /// with the most idle transactions.
    pub fn end_one(
        &mut self,
        holdings: &ConnectionHoldings,
        limit: SharedLimit,
        now: MonotonicTime,
    ) -> Option<IdleTransaction<T>> {
        let mut counts: HashMap<&CustomerId, usize> = HashMap::new();
        for idle in self.transactions.values() {
            *counts.entry(&idle.customer).or_default() += 1;
        }
        let may_end = |idle: &IdleTransaction<T>| {
            now.saturating_since(idle.since) >= MIN_IDLE
                && limit.is_exceeded(holdings.count(&idle.customer), idle.weight)
        };
        let candidates = self.transactions.iter().filter(|(_, idle)| may_end(idle));
        let chosen = candidates.max_by_key(|(_, idle)| {
            let count = counts.get(&idle.customer).copied();
            (count, Reverse(idle.since))
        });
        let number = *chosen?.0;
        self.transactions.remove(&number)
    }

    /// Returns the next time after `now` at which another transaction has been idle for long enough.
    #[must_use]
    pub fn next_end(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let ends = self.transactions.values().map(|idle| idle.since + MIN_IDLE);
        ends.filter(|end| *end > now).min()
    }
}

impl<T> Default for IdleTransactions<T> {
    fn default() -> Self {
        Self {
            transactions: BTreeMap::new(),
            next_number: TransactionNumber::default(),
        }
    }
}
