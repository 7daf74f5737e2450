use mustardhinge_core::budget::LedgerRequest;
use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An entry's message to the ledger of one zone; agents pass it on to the zone's
/// holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRequest {
    /// The service.
    pub service: ServiceId,
    /// The customer.
    pub customer: CustomerId,
    /// The zone whose ledger is asked.
    pub ledger_zone: ZoneId,
    /// What was spent, is kept and is wanted.
    pub ask: LedgerRequest,
}
