use mustardhinge_core::prelude::{LeaderTerm, ServiceId, TargetId};
use mustardhinge_core::primary_lease::GroupEpoch;
use serde::{Deserialize, Serialize};

/// A group's newest primary, as it stands in the platform's store.
///
/// It is written before the primary is promoted, so that no later holder lends an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The service whose group it is.
    pub service: ServiceId,
    /// The epoch of the primary.
    pub epoch: GroupEpoch,
    /// The primary.
    pub primary: TargetId,
    /// The primary leads in this term or a later one; whoever leads in an earlier one was
    /// replaced.
    pub term: LeaderTerm,
    /// Whether the primary was seen to lead; if not, a new holder has to look first.
    pub is_confirmed: bool,
    /// The fence of the holder that wrote it.
    pub fence: u64,
}

impl GroupRecord {
    /// Returns the name of a group's record.
    #[must_use]
    pub fn name_of(service: &ServiceId) -> String {
        format!("group-{service}")
    }
}
