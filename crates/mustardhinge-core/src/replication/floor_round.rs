use crate::units::{LogPosition, MonotonicTime};

use super::{GroupMembers, RoundNumber, quorum_floor};

/// A round of reports in progress.
#[derive(Clone, Debug)]
pub(super) struct FloorRound {
    pub(super) number: RoundNumber,
    pub(super) started_at: MonotonicTime,
    pub(super) majority_at: Option<MonotonicTime>,
    last_positions: Vec<Option<LogPosition>>,
}

impl FloorRound {
    /// Creates a round without reports.
    pub(super) fn new(number: RoundNumber, servers: usize, now: MonotonicTime) -> Self {
        Self {
            number,
            started_at: now,
            majority_at: None,
            last_positions: vec![None; servers],
        }
    }

    /// Records a server's last position.
    pub(super) fn record(&mut self, index: usize, last: LogPosition) {
        let slot = &mut self.last_positions[index];
        *slot = (*slot).max(Some(last));
    }

    /// Returns whether all servers have responded, except for unresponsive ones.
    pub(super) fn is_complete(&self, unresponsive: &[bool]) -> bool {
        let mut servers = self.last_positions.iter().zip(unresponsive);
        servers.all(|(last, is_unresponsive)| last.is_some() || *is_unresponsive)
    }

    /// Returns the floor once a majority has responded.
    pub(super) fn floor(&self, members: &GroupMembers) -> Option<LogPosition> {
        let last_positions: Vec<_> = self.last_positions.iter().flatten().copied().collect();
        quorum_floor(members, &last_positions)
    }
}
