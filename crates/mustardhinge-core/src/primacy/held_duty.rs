use std::collections::BTreeSet;

use super::{DutyRecord, DutyVoter, RecordRevision};
use crate::ids::InstanceId;
use crate::units::MonotonicTime;

/// The duty as this instance holds it, and what it knows of the holder before it.
#[derive(Clone, Debug)]
pub(super) struct HeldDuty {
    pub(super) record: DutyRecord,
    pub(super) revision: RecordRevision,
    pub(super) renewed_at: MonotonicTime,
    /// When the rights of all holders before this one have ended.
    pub(super) promote_from: MonotonicTime,
    /// Whether only the holder just before this one may have rights left.
    pub(super) has_one_predecessor: bool,
    /// The voters of that one, and which of them have left it.
    pub(super) replaced_voters: Vec<DutyVoter>,
    pub(super) moved: BTreeSet<InstanceId>,
}

impl HeldDuty {
    /// Returns whether the rights of all holders before this one have ended.
    pub(super) fn is_settled(&self, now: MonotonicTime) -> bool {
        now >= self.promote_from
    }

    /// Takes that the rights of the holder just before this one end by `end`.
    pub(super) fn predecessor_ends(&mut self, end: MonotonicTime) {
        if self.has_one_predecessor {
            self.promote_from = self.promote_from.min(end);
        }
    }

    /// Takes that a voter has left the holder before this one, whose rights end by `end` if most
    /// have.
    pub(super) fn voter_moved(
        &mut self,
        instance: &InstanceId,
        incarnation: u64,
        end: MonotonicTime,
    ) {
        let is_voter =
            |voter: &DutyVoter| voter.instance == *instance && voter.incarnation == incarnation;
        let is_new = self.replaced_voters.iter().any(is_voter);
        if is_new && self.moved.insert(instance.clone()) && self.have_most_moved() {
            self.predecessor_ends(end);
        }
    }

    /// Returns the voters that may still go along with the holder before this one, if their word
    /// is needed.
    pub(super) fn awaited_voters(&self, now: MonotonicTime) -> Vec<DutyVoter> {
        if self.is_settled(now) || !self.has_one_predecessor || self.have_most_moved() {
            return Vec::new();
        }
        let voters = self.replaced_voters.iter();
        let awaited = voters.filter(|voter| !self.moved.contains(&voter.instance));
        awaited.cloned().collect()
    }

    fn have_most_moved(&self) -> bool {
        self.moved.len() * 2 > self.replaced_voters.len()
    }
}
