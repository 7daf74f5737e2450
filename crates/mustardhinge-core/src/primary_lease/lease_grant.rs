use serde::{Deserialize, Serialize};

use super::GroupEpoch;
use crate::ids::{ServiceId, TargetId};

/// The use of one group's primary, lent to one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The service whose group it is.
    pub service: ServiceId,
    /// The epoch of the primary.
    pub epoch: GroupEpoch,
    /// The primary.
    pub primary: TargetId,
    /// Whether the primary may be used; if not, work for it is to stop.
    pub usable: bool,
}
