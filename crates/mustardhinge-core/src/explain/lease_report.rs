use serde::{Deserialize, Serialize};

use super::LeaseState;
use crate::ids::TargetId;
use crate::primary_lease::GroupEpoch;

/// The lease on the group's primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// State of the lease.
    pub state: LeaseState,
    /// Latest known epoch.
    pub epoch: Option<GroupEpoch>,
    /// Primary of that epoch.
    pub primary: Option<TargetId>,
    /// Time since the request that the leader answered with the lease.
    pub age_ms: Option<u64>,
    /// What follows for the request.
    pub effect: String,
}
