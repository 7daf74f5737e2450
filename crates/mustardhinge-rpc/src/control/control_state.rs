use serde::{Deserialize, Serialize};

use super::{GroupState, ServiceState};

/// What the entry needs to know to serve, and does not know yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// The start of the agent, different for each start.
    pub agent_incarnation: u64,
    /// Grows with each change of the fields below, except for `proof_age_ms`.
    pub revision: u64,
    /// The age of the newest proof that the documents are current, in
    /// milliseconds when the question arrived, 0 if it is younger than that; none
    /// if there is no proof.
    pub proof_age_ms: Option<u32>,
    /// Whether this instance is leaving: sessions move on between requests.
    pub draining: bool,
    /// The services whose documents were adopted after the revision asked with;
    /// all of them if the agent has started since.
    pub services: Vec<ServiceState>,
    /// What has become known of database groups since then.
    pub groups: Vec<GroupState>,
}
