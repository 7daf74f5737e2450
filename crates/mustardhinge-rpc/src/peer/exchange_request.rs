use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::control::GroupState;

/// The version of the calls between agents.
pub const PROTOCOL_VERSION: u32 = 1;

/// Asks another agent for all that it knows and this one does not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// The version of the calls that the sender speaks.
    pub protocol: u32,
    /// The instance of the sender.
    pub instance: InstanceId,
    /// Every document change of the store up to this revision is known.
    pub store_revision: u64,
    /// The revision of the list of instances that is known.
    pub list_revision: u64,
    /// The start of the answering agent to which `group_change` belongs.
    pub peer_incarnation: u64,
    /// The newest change of a group that the answering agent has told.
    pub group_change: u64,
    /// Groups that changed at the sender since its last exchange.
    pub groups: Vec<GroupState>,
    /// How long to wait for something new, in milliseconds.
    pub wait_ms: u32,
}
