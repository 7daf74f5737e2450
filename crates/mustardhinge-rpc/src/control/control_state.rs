use serde::{Deserialize, Serialize};

use super::{GroupState, ServiceState};

/// The part of the control state that the entry needs to serve and lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// The incarnation of the agent, different for each process start.
    pub agent_incarnation: u64,
    /// Increases with each change of the fields below, except for `proof_age_ms`.
    pub revision: u64,
    /// The age of the newest proof that the documents are current, in
    /// milliseconds, when the request arrived; 0 if the proof is newer than the
    /// request, `None` if there is no proof.
    pub proof_age_ms: Option<u32>,
    /// Whether this instance is draining and its sessions move on between requests.
    pub draining: bool,
    /// The services whose documents were adopted after the revision in the request;
    /// all services if the agent has restarted since.
    pub services: Vec<ServiceState>,
    /// The database groups whose state changed since then.
    pub groups: Vec<GroupState>,
}
