use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// An instance whose word a holder needs to lend on while it can't renew its record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// The instance.
    pub instance: InstanceId,
    /// The life of its process: one started anew knows nothing of holders it has left.
    pub incarnation: u64,
    /// Where it takes messages.
    pub address: SocketAddr,
}
