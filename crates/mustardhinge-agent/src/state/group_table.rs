use std::collections::BTreeMap;

use mustardhinge_core::prelude::*;
use mustardhinge_rpc::control::GroupState;

/// The primaries of the database groups, as far as they are known here.
///
/// Each change has a number, so that another agent can ask for what changed
/// since its last question.
#[derive(Debug, Default)]
pub(crate) struct GroupTable {
    groups: BTreeMap<GroupId, (GroupState, u64)>,
    last_change: u64,
}

impl GroupTable {
    /// Takes in a state if it says more than the one known: a greater term, or
    /// the primary of the same term. Returns whether it did.
    pub(crate) fn offer(&mut self, offered: GroupState) -> bool {
        let known = self.groups.get(&offered.group);
        if known.is_some_and(|(state, _)| !is_newer(&offered, state)) {
            return false;
        }
        self.last_change += 1;
        let group = offered.group.clone();
        self.groups.insert(group, (offered, self.last_change));
        true
    }

    /// Goes through the groups that changed after a change, all for 0.
    pub(crate) fn changed_after(&self, change: u64) -> impl Iterator<Item = &GroupState> {
        self.groups
            .values()
            .filter(move |(_, changed)| *changed > change)
            .map(|(state, _)| state)
    }
}

fn is_newer(offered: &GroupState, known: &GroupState) -> bool {
    let names_primary = known.primary.is_none() && offered.primary.is_some();
    offered.term > known.term || (offered.term == known.term && names_primary)
}
