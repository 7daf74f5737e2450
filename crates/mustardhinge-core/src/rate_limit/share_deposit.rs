use serde::{Deserialize, Serialize};

use super::{CustomerDeposit, PoolTerm};
use crate::ids::{CustomerId, InstanceId};

/// A message to a share pool: what the sender lends to it, and the operations that it requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareDeposit {
    /// The sender.
    pub from: InstanceId,
    /// The incarnation of the sender's process.
    pub incarnation: u64,
    /// The number of this message among those of the process.
    pub sequence: u64,
    /// The term of the pool that may count the deposits, if the sender knows one.
    pub term: Option<PoolTerm>,
    /// The deposits.
    pub deposits: Vec<CustomerDeposit>,
    /// The numbers of operations requested, by customer.
    pub requests: Vec<(CustomerId, u32)>,
    /// How often the message was sent before. Repeated messages carry the requests without the
    /// deposits.
    pub attempt: u32,
}
