use crate::units::LogPosition;

use super::RoundNumber;

/// What the caller of a floor tracker has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloorAction {
    /// Ask every server for a report, now.
    RequestReports(RoundNumber),
    /// Let the reads of a round go on with this floor.
    Complete {
        /// The round.
        round: RoundNumber,
        /// The floor: at or past every write acknowledged before the round.
        floor: LogPosition,
    },
    /// Refuse the reads of a round: no majority answered in time.
    Fail(RoundNumber),
}
