use serde::{Deserialize, Serialize};

/// The reason for which a ledger rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum LedgerError {
    /// A later request of the same entry was received before.
    #[error("request {sequence} was received after request {newest}")]
    StaleSequence {
        /// The sequence number of the request.
        sequence: u64,
        /// The greatest sequence number received.
        newest: u64,
    },
    /// The agent does not hold the lease of this zone's share.
    #[error("this agent does not hold the zone's share")]
    NotHolder,
    /// The service document does not list the customer.
    #[error("unknown customer")]
    UnknownCustomer,
}
