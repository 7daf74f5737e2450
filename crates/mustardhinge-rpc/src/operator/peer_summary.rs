use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An agent with which this one exchanges state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PeerSummary {
    /// Its instance.
    #[schemars(with = "String")]
    pub instance: InstanceId,
    /// The availability zone of its instance.
    #[schemars(with = "String")]
    pub zone: ZoneId,
    /// Where it listens.
    pub address: String,
    /// Whether it answered the last call.
    pub reachable: bool,
}
