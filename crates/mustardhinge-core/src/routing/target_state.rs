use crate::ids::{TargetId, ZoneId};
use crate::units::LogPosition;

/// The state of a target as known to the instance that routes a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetState {
    /// The target.
    pub target: TargetId,
    /// The availability zone of the target.
    pub zone: ZoneId,
    /// The log position that the target has applied and serves to reads, from its latest report.
    pub applied: LogPosition,
    /// Whether the target is the group's current primary.
    pub is_primary: bool,
    /// The number of this instance's statements that run on the target or wait for it.
    pub in_flight: u32,
    /// The number of statements that this instance may run on the target concurrently.
    pub slots: u32,
    /// Whether the target is leaving or draining and gets no new work.
    pub is_draining: bool,
    /// Whether the target did not respond within the timeout.
    pub is_unresponsive: bool,
}

impl TargetState {
    /// Returns whether new statements may go to the target.
    #[must_use]
    pub fn is_available(&self) -> bool {
        !self.is_draining && !self.is_unresponsive
    }
}
