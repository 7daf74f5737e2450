use serde::{Deserialize, Serialize};

use super::RequestAmount;
use crate::ids::{InstanceId, ZoneId};

/// One start of an entry, as a ledger knows it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClientId {
    /// The instance of the entry.
    pub instance: InstanceId,
    /// The start of the entry, different for each start.
    pub incarnation: u64,
}

/// An entry's report to one ledger of what became of the requests lent to it, and
/// its wish for more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRequest {
    /// Who asks.
    pub client: ClientId,
    /// The zone of who asks, for the ledger's statistics of demand.
    pub zone: ZoneId,
    /// The ledger that lent `held` and `spent_total`; 0 at first.
    pub ledger_epoch: u64,
    /// The number of this message, greater than all before it, so that a repeated
    /// message is answered once.
    pub sequence: u64,
    /// All requests admitted out of this ledger so far.
    pub spent_total: RequestAmount,
    /// Requests of this ledger that the entry keeps for use; those lent and
    /// neither kept nor spent are given back with this message.
    pub held: RequestAmount,
    /// What the requests that wait now still lack.
    pub waiting: RequestAmount,
    /// What is wanted, `waiting` included.
    pub wanted: RequestAmount,
}
