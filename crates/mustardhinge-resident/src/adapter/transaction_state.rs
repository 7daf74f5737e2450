use serde::{Deserialize, Serialize};

/// State of a session's transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction has failed and must be rolled back.
    Failed,
}
