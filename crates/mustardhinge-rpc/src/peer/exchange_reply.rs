use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::{InstanceList, PeerDocument, StoreOutage};
use crate::control::GroupState;

/// What an agent knows and the asking one does not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// The start of the answering agent.
    pub incarnation: u64,
    /// Its instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Every document change of the store up to this revision is known once
    /// `documents` are adopted.
    pub store_revision: u64,
    /// The documents that are newer than the revision asked with.
    pub documents: Vec<PeerDocument>,
    /// The list of instances, if it is newer.
    pub list: Option<InstanceList>,
    /// The newest change of a group here.
    pub group_change: u64,
    /// The groups that changed since the change asked with.
    pub groups: Vec<GroupState>,
    /// The age of the newest proof that the documents are current, in
    /// milliseconds when the question arrived; 0 if it is younger than that.
    pub proof_age_ms: Option<u32>,
    /// The availability zones that find the store out, as known here.
    pub outages: Vec<StoreOutage>,
}
