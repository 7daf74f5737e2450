use mustardhinge_core::budget::{LedgerError, LedgerResponse};
use serde::{Deserialize, Serialize};

/// The answer to a budget request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetGrant {
    /// What the ledger lends, or why it does not answer.
    pub result: Result<LedgerResponse, LedgerError>,
}
