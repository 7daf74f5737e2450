use crate::units::LogPosition;

use super::GroupMembers;

/// Returns a position at or past every write that was acknowledged before the
/// reports were requested, or `None` without reports of a majority.
///
/// `last_positions` holds the last position of each server that reported. A
/// majority of the servers holds an acknowledged write, and a server that holds
/// it never loses it. In the worst case all servers that did not report hold
/// it, so at least the rest of the majority is among those that did.
#[must_use]
pub fn quorum_floor(members: &GroupMembers, last_positions: &[LogPosition]) -> Option<LogPosition> {
    let absent = members.count().checked_sub(last_positions.len())?;
    let least_holders = members.majority().checked_sub(absent)?;
    let mut last_positions = last_positions.to_vec();
    last_positions.sort_unstable_by(|a, b| b.cmp(a));
    let index = least_holders.checked_sub(1)?;
    last_positions.get(index).copied()
}
