use std::cell::RefCell;
use std::rc::Rc;

use mustardhinge_core::connection::ConnectionHoldings;
use mustardhinge_core::prelude::CustomerId;

/// Counts an open connection as held by its customer until dropped.
#[derive(Debug)]
pub(super) struct ConnectionHold {
    holdings: Rc<RefCell<ConnectionHoldings>>,
    customer: CustomerId,
}

impl ConnectionHold {
    /// Counts a connection that was opened.
    pub(super) fn begin(holdings: &Rc<RefCell<ConnectionHoldings>>, customer: &CustomerId) -> Self {
        holdings.borrow_mut().record_opened(customer);
        Self {
            holdings: Rc::clone(holdings),
            customer: customer.clone(),
        }
    }
}

impl Drop for ConnectionHold {
    fn drop(&mut self) {
        self.holdings.borrow_mut().record_closed(&self.customer);
    }
}
