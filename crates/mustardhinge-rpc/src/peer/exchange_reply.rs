use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::{InstanceList, PeerDocument, StoreOutage};
use crate::control::GroupState;

/// State that the responding agent has and the requesting agent lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// The incarnation of the responding agent.
    pub incarnation: u64,
    /// The instance of the responding agent.
    pub instance: InstanceId,
    /// The availability zone of the responding agent.
    pub zone: ZoneId,
    /// Every document change of the store up to this revision is known once
    /// `documents` are adopted.
    pub store_revision: u64,
    /// The documents that are newer than the revision in the request.
    pub documents: Vec<PeerDocument>,
    /// The list of instances, if it is newer than the revision in the request.
    pub list: Option<InstanceList>,
    /// The number of the newest group change at the responding agent.
    pub group_change: u64,
    /// The groups that changed after the change in the request.
    pub groups: Vec<GroupState>,
    /// The age of the newest proof that the documents are current, in
    /// milliseconds, when the request arrived; 0 if the proof is newer than the
    /// request.
    pub proof_age_ms: Option<u32>,
    /// The availability zones that find the store unavailable, as known to the
    /// responding agent.
    pub outages: Vec<StoreOutage>,
}
