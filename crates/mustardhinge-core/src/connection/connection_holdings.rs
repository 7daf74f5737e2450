use std::collections::HashMap;

use crate::ids::CustomerId;

/// The number of open connections of each customer in one pool.
#[derive(Clone, Debug, Default)]
pub struct ConnectionHoldings {
    counts: HashMap<CustomerId, usize>,
}

impl ConnectionHoldings {
    /// Counts a connection that was opened.
    pub fn record_opened(&mut self, customer: &CustomerId) {
        match self.counts.get_mut(customer) {
            Some(count) => *count += 1,
            None => {
                self.counts.insert(customer.clone(), 1);
            }
        }
    }

    /// Counts a connection that was closed.
    pub fn record_closed(&mut self, customer: &CustomerId) {
        let left = self.count(customer).saturating_sub(1);
        if left == 0 {
            self.counts.remove(customer);
        } else if let Some(count) = self.counts.get_mut(customer) {
            *count = left;
        }
    }

    /// Returns the number of connections of a customer.
    #[must_use]
    pub fn count(&self, customer: &CustomerId) -> usize {
        self.counts.get(customer).copied().unwrap_or(0)
    }
}
