use crate::ids::{InstanceId, TargetId};
use crate::replication::ServerReport;
use crate::units::{LeaderTerm, MonotonicTime};

use super::ClaimOutcome;

/// What an agent learns about a group.
///
/// Answers carry the term of their call; those of an attempt that is over are
/// taken in as reports only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverEvent {
    /// A server reported.
    Reported {
        /// The report.
        report: ServerReport,
        /// When it was asked for.
        requested_at: MonotonicTime,
    },
    /// A server's host refused the connection, so that its process is gone.
    ConnectionRefused {
        /// The server.
        target: TargetId,
    },
    /// A server answered the opening of a connection with an error of its own:
    /// it is alive, but gives no report.
    ConnectionDeclined {
        /// The server.
        target: TargetId,
    },
    /// Another instance says whether a server answered its last call.
    PeerObserved {
        /// The other instance.
        observer: InstanceId,
        /// The server.
        target: TargetId,
        /// Whether it answered.
        responded: bool,
    },
    /// The store answered a claim.
    ClaimResponse {
        /// The term claimed.
        term: LeaderTerm,
        /// The answer.
        outcome: ClaimOutcome,
    },
    /// A server answered a fence.
    FenceResponse {
        /// The term asked for.
        term: LeaderTerm,
        /// The server's report after the call.
        report: ServerReport,
        /// Whether it granted the term.
        granted: bool,
    },
    /// A server answered a promotion.
    PromoteResponse {
        /// The term of the promotion.
        term: LeaderTerm,
        /// The server's report after the call.
        report: ServerReport,
        /// Whether it is the primary now.
        granted: bool,
    },
    /// The store answered the publication of a primary.
    PublishResponse {
        /// The term published.
        term: LeaderTerm,
        /// Whether this term or a greater one is published.
        is_published: bool,
    },
    /// An operator asks for another primary.
    SwitchoverRequested {
        /// The server that is to become primary; any replica if none.
        successor: Option<TargetId>,
    },
    /// No write that was sent before the hold is under way any more.
    WritesDrained,
    /// Time went on.
    Tick,
}
