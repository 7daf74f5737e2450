use super::demand_table::DemandTable;
use crate::budget::{
    BudgetLimit, LedgerError, LedgerRequest, LedgerResponse, RequestAmount, ShareFraction,
    ShareLedger,
};
use crate::units::MonotonicTime;

/// One customer of the service, as the holder of a zone's share keeps it.
#[derive(Clone, Debug)]
pub(crate) struct CustomerLedger {
    whole: BudgetLimit,
    ledger: ShareLedger,
    pub(crate) demand: DemandTable,
}

impl CustomerLedger {
    /// Opens the book of a customer; it starts empty.
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

    /// Sets the part of the whole that the ledger may lend.
    pub(crate) fn set_fraction(&mut self, fraction: ShareFraction, now: MonotonicTime) {
        self.ledger.set_limit(self.whole.scaled(fraction), now);
    }

    /// Returns whether what is lent out fits into a part of the whole.
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
