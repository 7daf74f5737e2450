use serde::{Deserialize, Serialize};

use super::RequestAmount;

/// A ledger's answer to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerResponse {
    /// The ledger that answers; requests of another one may not be used with it.
    pub ledger_epoch: u64,
    /// The number of the message that is answered.
    pub sequence: u64,
    /// What is lent; may be less than was wanted, also nothing.
    pub granted: RequestAmount,
    /// What the ledger could lend after this.
    pub available: RequestAmount,
    /// How long these and those that the entry kept may be used, in milliseconds
    /// from the moment that the entry sent its message.
    pub valid_ms: u32,
    /// When to ask again if less was lent, in milliseconds.
    pub retry_after_ms: u32,
}
