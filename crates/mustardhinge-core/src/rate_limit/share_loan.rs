use serde::{Deserialize, Serialize};

use super::{PoolTerm, ShareAmount, ShareDeposit};
use crate::ids::CustomerId;

/// The response of a share pool to a [`ShareDeposit`](super::ShareDeposit).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareLoan {
    /// The incarnation of the borrower's process.
    pub incarnation: u64,
    /// The number of the message that this responds to.
    pub sequence: u64,
    /// The term of the pool; none if it is closed, because its instance has a leader.
    pub term: Option<PoolTerm>,
    /// The accepted part of each deposit, in the order of the deposits; empty if none counts.
    pub accepted: Vec<ShareAmount>,
    /// The numbers of operations lent, by customer.
    pub loans: Vec<(CustomerId, u32)>,
}

impl ShareLoan {
    /// Creates the response of an instance that has a leader and keeps no pool.
    #[must_use]
    pub const fn closed(message: &ShareDeposit) -> Self {
        Self {
            incarnation: message.incarnation,
            sequence: message.sequence,
            term: None,
            accepted: Vec::new(),
            loans: Vec::new(),
        }
    }
}
