use std::net::SocketAddr;

use mustardhinge_core::membership::InstanceState;
use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The instance.
    pub instance: InstanceId,
    /// The availability zone of the instance.
    pub zone: ZoneId,
    /// The address on which the agent listens.
    pub agent_address: SocketAddr,
    /// Whether the instance is live or leaving.
    pub state: InstanceState,
}

/// The platform's list of instances, which lags behind the actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The revision of the list.
    pub revision: u64,
    /// The instances.
    #[serde(deserialize_with = "crate::readable_entries")]
    pub instances: Vec<InstanceEntry>,
}
