use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Voter;
use crate::ids::InstanceId;

/// Who holds the duty to replace primaries, as it stands in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The instance that holds the duty.
    pub holder: InstanceId,
    /// Tells one life of that instance's process from the next.
    pub incarnation: u64,
    /// Where the holder takes the other instances' messages.
    pub address: SocketAddr,
    /// Grows with each change of the holder.
    pub fence: u64,
    /// Grows with each renewal, so that renewing changes the record.
    pub renewals: u64,
    /// Whether the holder has given the duty up.
    pub released: bool,
    /// Whether the rights of all holders before this one have ended. As long as they may not
    /// have, the next one has to wait for them too, however this one ends.
    #[serde(default)]
    pub settled: bool,
    /// Most of these have to go along with the holder for it to lend on long after its last
    /// renewal; none if it may do so alone. Their number is odd.
    #[serde(default)]
    pub voters: Vec<Voter>,
}
