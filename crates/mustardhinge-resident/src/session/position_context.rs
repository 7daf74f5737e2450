use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_core::primary_lease::GroupEpoch;

use crate::group::GroupState;
use crate::node::NodeState;
use crate::target::{TargetHandle, TargetReply};

/// What the log position in a response stands for, fixed before the statement is sent.
///
/// Failure: a statement is sent to a replica, which becomes primary before the response arrives. The
/// position, which lacks commits that the old primary had acknowledged, would become the floor of
/// reads in the new epoch.
#[derive(Clone, Copy, Debug)]
pub(super) struct PositionContext {
    sent_at: MonotonicTime,
    /// The epoch whose leased primary the target was.
    epoch: Option<GroupEpoch>,
}

impl PositionContext {
    /// Creates the context of a statement that is sent to `target` at `now` or later.
    pub(super) fn new(
        node: &NodeState,
        group: &GroupState,
        target: &TargetHandle,
        now: MonotonicTime,
    ) -> Self {
        let primary = node.usable_primary(group, now);
        let leased = primary.filter(|(_, primary)| primary.id() == target.id());
        Self {
            sent_at: now,
            epoch: leased.map(|(epoch, _)| epoch),
        }
    }

    /// Records the position that a response reports.
    ///
    /// A position of the leased primary raises the floor of later reads; a position of a replica
    /// updates its replication lag.
    pub(super) fn record(
        self,
        node: &NodeState,
        group: &GroupState,
        target: &TargetHandle,
        reply: &TargetReply,
    ) {
        let now = node.clock.now();
        let Some(position) = reply.position else {
            return;
        };
        if let Some(epoch) = self.epoch {
            if node.is_lease_valid(group.service(), epoch, now) {
                group.observe(epoch, self.sent_at, position);
            }
            return;
        }
        let primary = node.usable_primary(group, now);
        if primary.is_some_and(|(_, primary)| primary.id() == target.id()) {
            return;
        }
        if let Some(covered) = group.covered_until(position, now) {
            target.record_lag(covered, now);
        }
    }
}
