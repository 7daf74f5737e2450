use serde::{Deserialize, Serialize};

/// Why a ledger does not answer a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum LedgerError {
    /// A later message of the same entry came first.
    #[error("message {sequence} came after message {newest}")]
    StaleSequence {
        /// The number of the message.
        sequence: u64,
        /// The greatest number seen.
        newest: u64,
    },
    /// The agent does not hold the share of this zone now.
    #[error("the zone's share is not held here")]
    NotHolder,
    /// The customer is not in the document.
    #[error("the customer is unknown")]
    UnknownCustomer,
}
