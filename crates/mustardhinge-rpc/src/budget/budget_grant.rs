use mustardhinge_core::budget::{LedgerError, LedgerResponse};
use serde::{Deserialize, Serialize};

/// The response to a budget request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetGrant {
    /// The response of the ledger, or the reason why it rejected the request.
    pub result: Result<LedgerResponse, LedgerError>,
}
