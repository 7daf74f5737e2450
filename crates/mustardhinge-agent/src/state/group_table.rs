use std::collections::BTreeMap;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_rpc::control::GroupState;

/// The known primaries of the database groups.
///
/// Each row records the state revision of its last change, so that the entry and
/// other agents can request only the changes since their last request.
#[derive(Debug, Default)]
pub(crate) struct GroupTable {
    groups: BTreeMap<GroupId, GroupRow>,
    last_change: u64,
}

#[derive(Debug)]
struct GroupRow {
    term: LeaderTerm,
    primary: Option<TargetId>,
    held_until: Option<MonotonicTime>,
    change: u64,
}

impl GroupTable {
    /// Applies a state if it adds to the known one: a greater term, the missing
    /// primary of the same term, or a new hold of writes. Returns whether it was
    /// applied.
    pub(crate) fn offer(&mut self, offered: GroupState, change: u64, now: MonotonicTime) -> bool {
        let hold = Duration::from_millis(offered.writes_held_ms.into());
        let held_until = (!hold.is_zero()).then(|| now + hold);
        let known = self.groups.get(&offered.group);
        if known.is_some_and(|row| !row.is_updated_by(&offered, now)) {
            return false;
        }
        self.last_change = change;
        let row = GroupRow {
            term: offered.term,
            primary: offered.primary,
            held_until,
            change,
        };
        self.groups.insert(offered.group, row);
        true
    }

    /// Holds the writes of a group until a deadline, or releases them.
    pub(crate) fn hold_writes(
        &mut self,
        group: &GroupId,
        until: Option<MonotonicTime>,
        change: u64,
    ) -> bool {
        let Some(row) = self.groups.get_mut(group) else {
            return false;
        };
        self.last_change = change;
        row.held_until = until;
        row.change = change;
        true
    }

    /// Returns the number of the newest change.
    pub(crate) const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the groups that changed after the change number `change`; 0 returns
    /// all groups.
    pub(crate) fn changed_after(&self, change: u64, now: MonotonicTime) -> Vec<GroupState> {
        let rows = self.groups.iter();
        let changed = rows.filter(|(_, row)| row.change > change);
        changed
            .map(|(group, row)| row.to_state(group, now))
            .collect()
    }
}

impl GroupRow {
    fn is_updated_by(&self, offered: &GroupState, now: MonotonicTime) -> bool {
        let adds_primary = self.primary.is_none() && offered.primary.is_some();
        let adds_hold = offered.writes_held_ms > 0 && self.remaining_hold(now).is_zero();
        offered.term > self.term || (offered.term == self.term && (adds_primary || adds_hold))
    }

    fn remaining_hold(&self, now: MonotonicTime) -> Duration {
        let until = self.held_until;
        until.map_or(Duration::ZERO, |until| until.saturating_since(now))
    }

    fn to_state(&self, group: &GroupId, now: MonotonicTime) -> GroupState {
        let held = self.remaining_hold(now).as_millis();
        GroupState {
            group: group.clone(),
            term: self.term,
            primary: self.primary.clone(),
            writes_held_ms: u32::try_from(held).unwrap_or(u32::MAX),
        }
    }
}
