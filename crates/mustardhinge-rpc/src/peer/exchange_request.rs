use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::control::GroupState;

/// The version of the protocol between agents.
pub const PROTOCOL_VERSION: u32 = 1;

/// Requests the state that another agent has and the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// The protocol version of the sender.
    pub protocol: u32,
    /// The instance of the sender.
    pub instance: InstanceId,
    /// The sender knows every document change of the store up to this revision.
    pub store_revision: u64,
    /// The revision of the list of instances known to the sender.
    pub list_revision: u64,
    /// The incarnation of the responding agent to which `group_change` belongs.
    pub peer_incarnation: u64,
    /// The number of the newest group change received from the responding agent.
    pub group_change: u64,
    /// Groups that changed at the sender since its last exchange.
    pub groups: Vec<GroupState>,
    /// How long to wait for changes, in milliseconds.
    pub wait_ms: u32,
}
