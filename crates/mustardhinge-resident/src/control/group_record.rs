use mustardhinge_core::prelude::{LeaderTerm, ServiceId, TargetId};
use mustardhinge_core::primary_lease::{GroupEpoch, StoreEra};
use serde::{Deserialize, Serialize};

/// The record of a group's newest primary in the platform's store.
///
/// The leader writes it before it promotes the primary, so that no later leader grants leases on
/// an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The service of the group.
    pub service: ServiceId,
    /// The epoch of the primary.
    pub epoch: GroupEpoch,
    /// The primary.
    pub primary: TargetId,
    /// A lower bound of the primary's term; a server that is primary in a lower term was replaced.
    pub term: LeaderTerm,
    /// Whether the target was confirmed to be primary; if not, a new leader has to check first.
    pub is_confirmed: bool,
    /// The fence of the leader that wrote the record.
    pub fence: u64,
    /// The era of the store for which the record was written. In a later era it comes from an
    /// older copy, and a later change of the primary may have been lost.
    #[serde(default)]
    pub era: StoreEra,
    /// The primary that an unconfirmed one replaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaced: Option<TargetId>,
    /// Whether a repeated order to promote the primary may still take effect. Orders for a target that is
    /// not confirmed always may.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_order_pending: bool,
    /// The replicas that may have confirmed commits of the epoch, or of the replaced primary's if the
    /// target is not confirmed. Empty if the primary acknowledges alone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<TargetId>,
}

impl GroupRecord {
    /// Returns whether an order of the leader that wrote the record may still take effect.
    #[must_use]
    pub const fn may_have_orders(&self) -> bool {
        !self.is_confirmed || self.is_order_pending
    }

    /// Returns the name of a group's record.
    #[must_use]
    pub fn name_of(service: &ServiceId) -> String {
        format!("group-{service}")
    }
}
