use super::demand_table::DemandTable;
use crate::budget::{
    BudgetLimit, LedgerError, LedgerRequest, LedgerResponse, RequestAmount, ShareFraction,
    ShareLedger,
};
use crate::units::MonotonicTime;

/// The ledger of a zone's share of one customer, with its demand statistics.
#[derive(Clone, Debug)]
pub(crate) struct CustomerLedger {
    whole: BudgetLimit,
    ledger: ShareLedger,
    pub(crate) demand: DemandTable,
}

impl CustomerLedger {
    /// Creates an empty ledger.
    pub(crate) fn open(epoch: u64, whole: BudgetLimit, now: MonotonicTime) -> Self {
        let zero_limit = whole.scaled(ShareFraction::NONE);
        Self {
            whole,
            ledger: ShareLedger::empty(epoch, zero_limit, now),
            demand: DemandTable::default(),
        }
    }

    pub(crate) const fn set_whole(&mut self, whole: BudgetLimit) {
        self.whole = whole;
    }

    pub(crate) const fn get_whole(&self) -> BudgetLimit {
        self.whole
    }

    /// Sets the fraction of the customer's limit that the ledger may grant.
    pub(crate) fn set_fraction(&mut self, fraction: ShareFraction, now: MonotonicTime) {
        self.ledger.set_limit(self.whole.scaled(fraction), now);
    }

    /// Returns whether the burst of a fraction covers the outstanding amount.
    pub(crate) fn covers_outstanding(
        &mut self,
        fraction: ShareFraction,
        now: MonotonicTime,
    ) -> bool {
        self.outstanding(now) <= self.whole.scaled(fraction).burst.into()
    }

    pub(crate) fn outstanding(&mut self, now: MonotonicTime) -> RequestAmount {
        self.ledger.outstanding(now)
    }

    pub(crate) fn handle_request(
        &mut self,
        request: &LedgerRequest,
        now: MonotonicTime,
    ) -> Result<LedgerResponse, LedgerError> {
        let response = self.ledger.handle_request(request, now)?;
        self.demand.count(&request.zone, response.granted, now);
        Ok(response)
    }
}
