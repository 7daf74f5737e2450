use std::collections::BTreeSet;
use std::net::IpAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The faults of the network in front of a stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LinkFaults {
    /// Refuse new connections and reset the open ones.
    pub down: bool,
    /// Accept connections, but neither read nor answer until this ends.
    pub frozen: bool,
    /// IP numbers of peers that nothing passes to or from until this ends.
    pub cut_peers: BTreeSet<IpAddr>,
    /// Connections with a smaller number never pass anything again.
    pub silent_before: u64,
}

impl LinkFaults {
    /// Returns the fault that holds back `connection` to `peer`, if any.
    #[must_use]
    pub fn fault_of(&self, peer: IpAddr, connection: u64) -> Option<super::LinkFault> {
        if self.down {
            Some(super::LinkFault::Down)
        } else if connection < self.silent_before {
            Some(super::LinkFault::Silent)
        } else if self.frozen || self.cut_peers.contains(&peer) {
            Some(super::LinkFault::Held)
        } else {
            None
        }
    }
}
