use crate::ids::{TargetId, ZoneId};
use crate::units::LogPosition;

/// What an instance knows of a target when it routes a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetState {
    /// The target.
    pub target: TargetId,
    /// The availability zone that it stands in.
    pub zone: ZoneId,
    /// The position up to which its reads see the rows, by its newest report.
    pub applied: LogPosition,
    /// Whether it is the group's current primary.
    pub is_primary: bool,
    /// The statements of this instance that it works on or that wait for it.
    pub in_flight: u32,
    /// The statements that this instance may run on it at once.
    pub slots: u32,
    /// Whether it gets no new work, since it is leaving or drained.
    pub is_draining: bool,
    /// Whether it did not answer within the bound of silence.
    pub is_unresponsive: bool,
}

impl TargetState {
    /// Returns whether new statements may go to the target.
    #[must_use]
    pub fn is_available(&self) -> bool {
        !self.is_draining && !self.is_unresponsive
    }
}
