use std::collections::BTreeMap;
use std::time::Duration;

use mustardhinge_config::document::ServiceDocument;
use mustardhinge_core::budget::{
    BudgetLimit, LedgerError, LedgerResponse, ShareFraction, ShareLedger,
};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::budget::BudgetRequest;

/// Time after the agent's start during which nothing is granted. Grants of the
/// previous incarnation have expired by its end.
const STARTUP_GRANT_DELAY: Duration = Duration::from_millis(1_100);

/// Grants requests from fixed shares: each customer's rate and burst divided by
/// the maximum number of instances.
#[derive(Debug)]
pub struct StaticShares {
    zone: ZoneId,
    epoch: u64,
    started_at: MonotonicTime,
    ledgers: BTreeMap<(ServiceId, CustomerId), ShareLedger>,
}

impl StaticShares {
    /// Creates the shares of one instance; `epoch` must be greater than in any
    /// previous incarnation of the instance.
    #[must_use]
    pub const fn new(zone: ZoneId, epoch: u64, now: MonotonicTime) -> Self {
        Self {
            zone,
            epoch,
            started_at: now,
            ledgers: BTreeMap::new(),
        }
    }

    /// Handles a budget request of the instance's entry, using the limits of the
    /// current document.
    ///
    /// # Errors
    ///
    /// Returns an error for the ledger of another zone, an unknown customer, a
    /// stale sequence number, and any request right after the start.
    pub fn handle_request(
        &mut self,
        request: &BudgetRequest,
        document: Option<&ServiceDocument>,
        now: MonotonicTime,
    ) -> Result<LedgerResponse, LedgerError> {
        let is_starting = now.saturating_since(self.started_at) < STARTUP_GRANT_DELAY;
        if request.ledger_zone != self.zone || is_starting {
            return Err(LedgerError::NotHolder);
        }
        let limit = document
            .and_then(|document| share_limit(document, &request.customer))
            .ok_or(LedgerError::UnknownCustomer)?;
        let key = (request.service.clone(), request.customer.clone());
        let started_at = self.started_at;
        let empty = || ShareLedger::empty(self.epoch, limit, started_at);
        let ledger = self.ledgers.entry(key).or_insert_with(empty);
        ledger.set_limit(limit, now);
        ledger.handle_request(&request.ask, now)
    }
}

fn share_limit(document: &ServiceDocument, customer: &CustomerId) -> Option<BudgetLimit> {
    let mut customers = document.customers.iter();
    let customer = customers.find(|entry| entry.name == *customer)?;
    let instances = document.limits.max_instances.max(1);
    let fraction = ShareFraction::from_millionths(ShareFraction::WHOLE.as_millionths() / instances);
    Some(BudgetLimit::new(customer.rate, customer.burst).scaled(fraction))
}
