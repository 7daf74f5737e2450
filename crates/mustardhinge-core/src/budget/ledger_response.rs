use serde::{Deserialize, Serialize};

use super::RequestAmount;

/// The response of a ledger to a [`LedgerRequest`](super::LedgerRequest).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerResponse {
    /// The epoch of the ledger. Grants of another epoch are void.
    pub ledger_epoch: u64,
    /// The sequence number of the request.
    pub sequence: u64,
    /// The granted amount, which may be less than requested or zero.
    pub granted: RequestAmount,
    /// The amount that remains available in the ledger.
    pub available: RequestAmount,
    /// How long the grant and the amount already held are valid, in milliseconds
    /// from the time at which the entry sent the request.
    pub valid_ms: u32,
    /// When to retry if less than requested was granted, in milliseconds.
    pub retry_after_ms: u32,
}
