use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{GroupSummary, PeerSummary, ServiceSummary};

/// Status of an agent and of the state known to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AgentStatus {
    /// The instance of the agent.
    #[schemars(with = "String")]
    pub instance: InstanceId,
    /// The availability zone of the instance.
    #[schemars(with = "String")]
    pub zone: ZoneId,
    /// Whether the agent has the state that it needs to serve.
    pub ready: bool,
    /// Whether the instance is draining.
    pub draining: bool,
    /// The age of the newest proof that the documents are current, in
    /// milliseconds.
    pub proof_age_ms: Option<u32>,
    /// Whether the platform responded to the last call.
    pub platform_reachable: bool,
    /// The services whose documents the agent has adopted.
    pub services: Vec<ServiceSummary>,
    /// The database groups known to the agent.
    pub groups: Vec<GroupSummary>,
    /// The agents with which this agent exchanges state.
    pub peers: Vec<PeerSummary>,
}
