use crate::ids::ServiceId;
use crate::primary_lease::GroupEpoch;
use crate::units::{LogPosition, MonotonicTime};

/// A commit of a session that was acknowledged.
///
/// Positions and epochs of two services have nothing to do with each other, so they are kept
/// together with their service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionCommit {
    /// The service in whose log the commit stands.
    pub service: ServiceId,
    /// The epoch of the primary that committed.
    pub epoch: GroupEpoch,
    /// The position of the commit.
    pub position: LogPosition,
    /// A time at or after the acknowledgement of the target.
    pub acknowledged_at: MonotonicTime,
}
