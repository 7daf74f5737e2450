use serde::{Deserialize, Serialize};

use super::{GroupState, ServiceState};

/// Everything the entry needs to know to serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// The start of the agent, different for each start.
    pub agent_incarnation: u64,
    /// Grows with each change of the fields below, except for `proof_age_ms`.
    pub revision: u64,
    /// The age of the newest proof that the documents are current, in
    /// milliseconds at the moment of the answer; none if there is no proof.
    pub proof_age_ms: Option<u32>,
    /// Whether this instance is leaving: sessions move on between requests.
    pub draining: bool,
    /// The services and their documents.
    pub services: Vec<ServiceState>,
    /// What is known of the database groups.
    pub groups: Vec<GroupState>,
}
