use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{StoreEra, Voter};
use crate::ids::InstanceId;

/// The leadership record in the platform's store: which instance is the leader.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader.
    pub holder: InstanceId,
    /// The incarnation of the leader's process.
    pub incarnation: u64,
    /// The address at which the leader receives messages.
    pub address: SocketAddr,
    /// The fencing number; each new leader increments it.
    pub fence: u64,
    /// The number of renewals, so that each renewal changes the record.
    pub renewals: u64,
    /// Whether the leader has released its leadership.
    pub released: bool,
    /// Whether the rights of all earlier leaders have expired. While this is unset, the next
    /// leader has to wait for them too, even if this leader releases its leadership.
    #[serde(default)]
    pub settled: bool,
    /// The time from the writing of the record until then, if the leader knew it; in milliseconds.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub settles_in: Option<Duration>,
    /// The voters, an odd number. A leader that can't renew needs acknowledgements from a
    /// majority of them to keep granting leases; with an empty list it needs none.
    #[serde(default)]
    pub voters: Vec<Voter>,
    /// In a claim, whose voters are those of the leader before: the time from the writing of the record
    /// until the rights of the leaders have expired that these voters did not follow, if it is known; in
    /// milliseconds.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub earlier_settle_in: Option<Duration>,
    /// The era of the store for which the record was written. In a later era it comes from an
    /// older copy and doesn't show who the last leader was.
    #[serde(default)]
    pub era: StoreEra,
}

impl LeaderRecord {
    /// Maximum fence, above those of [`StoreEra::MAX`]. Only a malformed message names a higher
    /// one; a fence at the end of the type's range would leave no room for the next leader.
    pub const MAX_FENCE: u64 = 1 << 61;
}
