use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An agent with which the reporting agent exchanges state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PeerSummary {
    /// The instance of the agent.
    #[schemars(with = "String")]
    pub instance: InstanceId,
    /// The availability zone of the instance.
    #[schemars(with = "String")]
    pub zone: ZoneId,
    /// The address on which the agent listens.
    pub address: String,
    /// Whether the agent responded to the last call.
    pub reachable: bool,
}
