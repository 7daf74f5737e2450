use std::collections::BTreeSet;

use super::{LeaderRecord, RecordRevision, Voter};
use crate::ids::InstanceId;
use crate::units::MonotonicTime;

/// The duty as this instance holds it, and what it knows of the holder before it.
#[derive(Clone, Debug)]
pub(super) struct HeldLeadership {
    pub(super) record: LeaderRecord,
    pub(super) revision: RecordRevision,
    pub(super) renewed_at: MonotonicTime,
    /// When the rights of all holders before this one have ended.
    pub(super) promote_from: MonotonicTime,
    /// Whether only the holder just before this one may have rights left.
    pub(super) has_one_predecessor: bool,
    /// The voters of that one, and which of them have left it.
    pub(super) predecessor_voters: Vec<Voter>,
    pub(super) moved: BTreeSet<InstanceId>,
}

impl HeldLeadership {
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
            |voter: &Voter| voter.instance == *instance && voter.incarnation == incarnation;
        let is_new = self.predecessor_voters.iter().any(is_voter);
        if is_new && self.moved.insert(instance.clone()) && self.has_majority_moved() {
            self.predecessor_ends(end);
        }
    }

    /// Returns the voters that may still go along with the holder before this one, if their word
    /// is needed.
    pub(super) fn awaited_voters(&self, now: MonotonicTime) -> Vec<Voter> {
        if self.is_settled(now) || !self.has_one_predecessor || self.has_majority_moved() {
            return Vec::new();
        }
        let voters = self.predecessor_voters.iter();
        let awaited = voters.filter(|voter| !self.moved.contains(&voter.instance));
        awaited.cloned().collect()
    }

    fn has_majority_moved(&self) -> bool {
        self.moved.len() * 2 > self.predecessor_voters.len()
    }
}
