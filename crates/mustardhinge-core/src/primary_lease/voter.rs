use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// An instance that takes part in the quorum which lets a leader keep granting leases while it
/// can't renew its record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation of its process. A restarted process has lost the highest fence it saw, so
    /// it is a different voter.
    pub incarnation: u64,
    /// The address at which it receives messages.
    pub address: SocketAddr,
}
