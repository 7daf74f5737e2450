use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{AckOutcome, ServerReport};
use tokio::sync::oneshot;

/// A message to the watch of a group.
#[derive(Debug)]
pub enum GroupCommand {
    /// Answer once a majority holds the position in its term, or can't.
    Acknowledge {
        /// The primary that reported the commit.
        primary: TargetId,
        /// The position of the commit.
        position: LogPosition,
        /// Takes the outcome.
        reply: oneshot::Sender<AckOutcome>,
    },
    /// Answer once a majority holds the position in its term, or can't, for a
    /// read that may have seen everything up to it.
    ConfirmRead {
        /// The position.
        position: LogPosition,
        /// Takes the outcome.
        reply: oneshot::Sender<AckOutcome>,
    },
    /// Answer with the floor of a round that begins now or later; none if no
    /// majority answers in time.
    Floor {
        /// Takes the floor.
        reply: oneshot::Sender<Option<LogPosition>>,
    },
    /// Ask the target about the position again and again until the time is over.
    Await {
        /// The target.
        target: TargetId,
        /// The position.
        position: LogPosition,
        /// When nobody waits any more.
        until: MonotonicTime,
    },
    /// A target answered, or did not.
    Reported {
        /// The target.
        target: TargetId,
        /// When it was asked.
        requested_at: MonotonicTime,
        /// Its report; none if it was silent.
        report: Option<ServerReport>,
    },
}
