use std::net::SocketAddr;

use mustardhinge_core::membership::InstanceState;
use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where its agent listens.
    pub agent_address: SocketAddr,
    /// Whether it is leaving.
    pub state: InstanceState,
}

/// The platform's list of instances, which lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The revision of the list.
    pub revision: u64,
    /// The instances.
    pub instances: Vec<InstanceEntry>,
}
