use crate::units::LogPosition;

use super::RoundNumber;

/// An action that the caller of a floor tracker has to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloorAction {
    /// Request a report from every server immediately.
    RequestReports(RoundNumber),
    /// Release the reads of a round with this floor.
    Complete {
        /// The round.
        round: RoundNumber,
        /// The floor: at or past every write acknowledged before the round.
        floor: LogPosition,
    },
    /// Reject the reads of a round: no majority responded before the timeout.
    Fail(RoundNumber),
}
