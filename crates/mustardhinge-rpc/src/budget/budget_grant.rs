use mustardhinge_core::budget::{BudgetAnswer, LedgerError};
use serde::{Deserialize, Serialize};

/// The answer to a budget request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetGrant {
    /// What the ledger lends, or why it does not answer.
    pub result: Result<BudgetAnswer, LedgerError>,
}
