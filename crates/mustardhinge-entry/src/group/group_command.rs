use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{AckOutcome, ServerReport};
use tokio::sync::oneshot;

/// Message to the watch of a group.
#[derive(Debug)]
pub enum GroupCommand {
    /// Replies once a majority holds the position in its term or can no longer do
    /// so.
    Acknowledge {
        /// Primary that reported the commit.
        primary: TargetId,
        /// Log position of the commit.
        position: LogPosition,
        /// Receives the outcome.
        reply: oneshot::Sender<AckOutcome>,
    },
    /// Replies once a majority holds the position in its term or can no longer do
    /// so, for a read that may have seen all rows up to the position.
    ConfirmRead {
        /// Log position up to which the read may have seen rows.
        position: LogPosition,
        /// Receives the outcome.
        reply: oneshot::Sender<AckOutcome>,
    },
    /// Replies with the read floor of a round that starts now or later, or `None`
    /// if no majority responds in time.
    Floor {
        /// Receives the floor.
        reply: oneshot::Sender<Option<LogPosition>>,
    },
    /// Polls the target until it has applied the position or the time has passed.
    AwaitApplied {
        /// Target that is polled.
        target: TargetId,
        /// Log position to wait for.
        position: LogPosition,
        /// Time at which polling stops.
        until: MonotonicTime,
    },
    /// Delivers the result of a report request to a target.
    Reported {
        /// Target that was polled.
        target: TargetId,
        /// Time when the report was requested.
        requested_at: MonotonicTime,
        /// Report of the target, or `None` if it did not respond.
        report: Option<ServerReport>,
    },
}
