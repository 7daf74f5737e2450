use serde::{Deserialize, Serialize};

use super::RequestAmount;
use crate::ids::{InstanceId, ZoneId};

/// One incarnation of an entry, as a client of a ledger.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClientId {
    /// The instance of the entry.
    pub instance: InstanceId,
    /// The incarnation of the entry, different after each restart.
    pub incarnation: u64,
}

/// A request of an entry to one ledger.
///
/// Reports which granted requests the entry has spent and still holds, and requests
/// a new grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRequest {
    /// The requesting entry.
    pub client: ClientId,
    /// The zone of the requesting entry, for the demand statistics of the ledger.
    pub zone: ZoneId,
    /// The epoch of the ledger that granted `held` and `spent_total`; 0 before the
    /// first response.
    pub ledger_epoch: u64,
    /// The sequence number, which grows with each request so that a duplicate gets
    /// the same response.
    pub sequence: u64,
    /// The total amount spent from grants of this ledger.
    pub spent_total: RequestAmount,
    /// The unspent amount that the entry keeps. An amount granted and neither held
    /// nor spent is returned with this request.
    pub held: RequestAmount,
    /// The amount still missing for the client requests that wait for budget.
    pub waiting: RequestAmount,
    /// The requested amount, including `waiting`.
    pub wanted: RequestAmount,
}
