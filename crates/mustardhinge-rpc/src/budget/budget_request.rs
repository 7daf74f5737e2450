use mustardhinge_core::budget::LedgerRequest;
use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An entry's request to the ledger of one zone; agents forward it to the agent
/// that holds the lease on the share of the zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRequest {
    /// The service.
    pub service: ServiceId,
    /// The customer.
    pub customer: CustomerId,
    /// The zone whose ledger receives the request.
    pub ledger_zone: ZoneId,
    /// The requests that were spent, are kept and are wanted.
    pub ask: LedgerRequest,
}
