use std::collections::BTreeMap;
use std::time::Duration;

use mustardhinge_config::document::ServiceDocument;
use mustardhinge_core::budget::{
    BudgetLimit, LedgerError, LedgerResponse, ShareFraction, ShareLedger,
};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::budget::BudgetRequest;

/// The time after the agent's start in which nothing is lent: what an earlier
/// start of it lent has lapsed then.
const STARTUP_GRANT_DELAY: Duration = Duration::from_millis(1_100);

/// Lends each customer's rate and burst divided evenly by the greatest number
/// of instances; shares never move.
#[derive(Debug)]
pub struct StaticShares {
    zone: ZoneId,
    epoch: u64,
    started_at: MonotonicTime,
    ledgers: BTreeMap<(ServiceId, CustomerId), ShareLedger>,
}

impl StaticShares {
    /// Makes the shares of one instance; `epoch` is greater than at any start
    /// of the instance before.
    #[must_use]
    pub const fn new(zone: ZoneId, epoch: u64, now: MonotonicTime) -> Self {
        Self {
            zone,
            epoch,
            started_at: now,
            ledgers: BTreeMap::new(),
        }
    }

    /// Answers the entry of the instance, by the document in force.
    ///
    /// # Errors
    ///
    /// Fails for other zones' ledgers, unknown customers, messages that came
    /// late, and right after the start.
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
