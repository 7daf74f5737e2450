use std::collections::BTreeSet;
use std::time::Duration;

use super::{LeaderRecord, LeadershipTerm, RecordRevision, Voter};
use crate::ids::InstanceId;
use crate::units::MonotonicTime;

/// The leadership that this instance holds, and the rights that its predecessors may still have.
#[derive(Clone, Debug)]
pub(super) struct HeldLeadership {
    pub(super) term: LeadershipTerm,
    pub(super) record: LeaderRecord,
    pub(super) revision: RecordRevision,
    pub(super) renewed_at: MonotonicTime,
    /// When the rights of all earlier leaders have expired.
    pub(super) promote_from: MonotonicTime,
    /// When the rights of the leaders before the direct predecessor have expired, if it is known.
    pub(super) earlier_until: Option<MonotonicTime>,
    /// When the rights of the leaders have expired that the predecessor's voters did not follow, if it is
    /// known.
    pub(super) unfollowed_until: Option<MonotonicTime>,
    /// The voters of the direct predecessor.
    pub(super) predecessor_voters: Vec<Voter>,
    /// The predecessor's voters that have seen this leader's fence.
    pub(super) moved: BTreeSet<InstanceId>,
}

impl HeldLeadership {
    /// Returns whether the rights of all earlier leaders have expired.
    pub(super) fn is_settled(&self, now: MonotonicTime) -> bool {
        now >= self.promote_from
    }

    /// Records in a record that is written now whether and when the rights of all earlier leaders
    /// have expired.
    pub(super) fn record_settling(&self, record: &mut LeaderRecord, now: MonotonicTime) {
        Self::record_settling_at(record, self.promote_from, now);
    }

    /// Like [`record_settling`](Self::record_settling), for rights that have expired at
    /// `promote_from`.
    pub(super) fn record_settling_at(
        record: &mut LeaderRecord,
        promote_from: MonotonicTime,
        now: MonotonicTime,
    ) {
        record.settled = now >= promote_from;
        record.settles_in = (!record.settled).then(|| Self::time_until(promote_from, now));
        record.earlier_settle_in = None;
    }

    /// Returns the time until `end` for a record, which stores whole milliseconds. It is not rounded
    /// down.
    pub(super) fn time_until(end: MonotonicTime, now: MonotonicTime) -> Duration {
        end.saturating_since(now) + Duration::from_millis(1)
    }

    /// Shortens the wait to `end`, the time by which the direct predecessor's rights expire, or to the
    /// end of the rights of the leaders before it, if that is later.
    pub(super) fn predecessor_ends(&mut self, end: MonotonicTime) {
        self.shorten_wait(end, self.earlier_until);
    }

    fn shorten_wait(&mut self, end: MonotonicTime, others_until: Option<MonotonicTime>) {
        if let Some(others_until) = others_until {
            self.promote_from = self.promote_from.min(end.max(others_until));
        }
    }

    /// Records that a voter no longer acknowledges the predecessor. Once a majority has moved, the rights
    /// of the predecessor, and of earlier leaders with the same voters, expire by `end`.
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
            self.shorten_wait(end, self.unfollowed_until);
        }
    }

    /// Returns the voters that may still acknowledge the predecessor, if a majority of moved
    /// voters can still shorten the wait.
    pub(super) fn awaited_voters(&self, now: MonotonicTime) -> Vec<Voter> {
        if self.is_settled(now) || self.unfollowed_until.is_none() || self.has_majority_moved() {
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
