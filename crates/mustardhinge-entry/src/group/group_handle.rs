use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{AckFailure, AckOutcome};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use super::{GroupCommand, GroupSnapshot};

/// Handle with which the traffic threads use the watch of a group.
#[derive(Clone, Debug)]
pub struct GroupHandle {
    commands: mpsc::UnboundedSender<GroupCommand>,
    snapshot: watch::Receiver<GroupSnapshot>,
}

impl GroupHandle {
    /// Creates a handle.
    #[must_use]
    pub(super) fn new(
        commands: mpsc::UnboundedSender<GroupCommand>,
        snapshot: watch::Receiver<GroupSnapshot>,
    ) -> Self {
        Self { commands, snapshot }
    }

    /// Returns the current snapshot.
    #[must_use]
    pub fn snapshot(&self) -> GroupSnapshot {
        self.snapshot.borrow().clone()
    }

    /// Waits until a majority holds the position of a commit or can no longer do
    /// so.
    pub async fn acknowledge(&self, primary: TargetId, position: LogPosition) -> AckOutcome {
        let (reply, receiver) = oneshot::channel();
        let command = GroupCommand::Acknowledge {
            primary,
            position,
            reply,
        };
        self.wait_for_ack(command, receiver).await
    }

    /// Waits until no change of primary can undo the rows that a read on `target`
    /// returned, or until the confirmation fails. `read_at` is the time when the
    /// read ended.
    pub async fn confirm_read(&self, target: &TargetId, read_at: MonotonicTime) -> AckOutcome {
        let timed_out = AckOutcome::Unknown(AckFailure::TimedOut);
        if self.floor().await.is_none() {
            return timed_out;
        }
        let Some(position) = self.last_position_since(target, read_at) else {
            return timed_out;
        };
        let (reply, receiver) = oneshot::channel();
        let command = GroupCommand::ConfirmRead { position, reply };
        self.wait_for_ack(command, receiver).await
    }

    /// Returns the last log position of a target, if it is from a report requested
    /// at `since` or later.
    fn last_position_since(&self, target: &TargetId, since: MonotonicTime) -> Option<LogPosition> {
        let snapshot = self.snapshot.borrow();
        let timed = snapshot.view.report(target)?;
        (timed.requested_at >= since).then_some(timed.report.last)
    }

    async fn wait_for_ack(
        &self,
        command: GroupCommand,
        receiver: oneshot::Receiver<AckOutcome>,
    ) -> AckOutcome {
        let timed_out = AckOutcome::Unknown(AckFailure::TimedOut);
        if self.commands.send(command).is_err() {
            return timed_out;
        }
        receiver.await.unwrap_or(timed_out)
    }

    /// Waits for a read floor determined after this call started.
    pub async fn floor(&self) -> Option<LogPosition> {
        let (reply, receiver) = oneshot::channel();
        self.commands.send(GroupCommand::Floor { reply }).ok()?;
        receiver.await.ok()?
    }

    /// Waits until the target has applied the position, for at most `max_wait`.
    pub async fn await_applied(
        &self,
        target: &TargetId,
        position: LogPosition,
        until: MonotonicTime,
        max_wait: Duration,
    ) {
        let command = GroupCommand::AwaitApplied {
            target: target.clone(),
            position,
            until,
        };
        if self.commands.send(command).is_err() {
            return;
        }
        let has_applied = |snapshot: &GroupSnapshot| {
            let report = snapshot.view.report(target);
            report.is_some_and(|timed| timed.report.applied >= position)
        };
        let mut snapshot = self.snapshot.clone();
        let _ = timeout(max_wait, snapshot.wait_for(has_applied)).await;
    }

    /// Waits until a writable primary is known, for at most `max_wait`.
    pub async fn await_primary(&self, max_wait: Duration) -> Option<(TargetId, LeaderTerm)> {
        let mut snapshot = self.snapshot.clone();
        let has_primary = |snapshot: &GroupSnapshot| snapshot.writable_primary().is_some();
        let found = timeout(max_wait, snapshot.wait_for(has_primary)).await;
        found.ok()?.ok()?.writable_primary()
    }

    /// Waits until the primary of a later term than `term` is known, for at most
    /// `max_wait`.
    pub async fn await_other_primary(
        &self,
        term: LeaderTerm,
        max_wait: Duration,
    ) -> Option<(TargetId, LeaderTerm)> {
        let mut snapshot = self.snapshot.clone();
        let is_other = |snapshot: &GroupSnapshot| {
            let primary = snapshot.writable_primary();
            primary.is_some_and(|(_, other)| other > term)
        };
        let found = timeout(max_wait, snapshot.wait_for(is_other)).await;
        found.ok()?.ok()?.writable_primary()
    }
}
