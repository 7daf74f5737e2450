use mustardhinge_core::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{GroupSummary, PeerSummary, ServiceSummary};

/// What an agent says of itself and of what it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AgentStatus {
    /// The instance of the agent.
    #[schemars(with = "String")]
    pub instance: InstanceId,
    /// The availability zone of the instance.
    #[schemars(with = "String")]
    pub zone: ZoneId,
    /// Whether it knows enough to serve.
    pub ready: bool,
    /// Whether the instance is leaving.
    pub draining: bool,
    /// The age of the newest proof that the documents are current.
    pub proof_age_ms: Option<u32>,
    /// Whether the platform answered the last call.
    pub platform_reachable: bool,
    /// The services it has adopted.
    pub services: Vec<ServiceSummary>,
    /// What it knows of the database groups.
    pub groups: Vec<GroupSummary>,
    /// The agents with which it exchanges state.
    pub peers: Vec<PeerSummary>,
}
