use serde::{Deserialize, Serialize};

use super::GroupEpoch;
use crate::ids::{ServiceId, TargetId};
use crate::units::LeaderTerm;

/// The leader's response about one group's primary: a lease for the requesting instance, or a
/// notice to stop using the primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The service that the group belongs to.
    pub service: ServiceId,
    /// The epoch of the primary.
    pub epoch: GroupEpoch,
    /// The primary.
    pub primary: TargetId,
    /// Whether the primary may be used; if not, the instance must stop its work on the primary.
    pub usable: bool,
    /// A lower bound of the primary's term.
    pub term: LeaderTerm,
}
