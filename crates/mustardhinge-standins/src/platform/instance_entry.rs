use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It runs.
    Live,
    /// It will be taken away soon.
    Leaving,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct InstanceEntry {
    /// The instance.
    pub instance: String,
    /// Its availability zone.
    pub zone: String,
    /// Where its agent listens.
    #[schemars(with = "String")]
    pub agent_address: SocketAddr,
    /// Whether it stays.
    pub state: InstanceState,
}

/// A change of the list: the new entry of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct InstanceUpdate {
    /// Its availability zone.
    pub zone: String,
    /// Where its agent listens.
    #[schemars(with = "String")]
    pub agent_address: SocketAddr,
    /// Whether it stays.
    pub state: InstanceState,
}
