use crate::ids::{InstanceId, TargetId};
use crate::replication::ServerReport;
use crate::units::{LeaderTerm, MonotonicTime};

use super::ClaimOutcome;

/// An observation of a group or a response to a call.
///
/// Responses carry the term of their call. Responses to a claim, fence
/// or promotion of a finished attempt are ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverEvent {
    /// A server sent a report.
    Reported {
        /// The report.
        report: ServerReport,
        /// When the report was requested.
        requested_at: MonotonicTime,
    },
    /// A server's host refused the connection: its process is not running.
    ConnectionRefused {
        /// The server.
        target: TargetId,
    },
    /// A server rejected a connection with an error of its own: it is alive,
    /// but sends no report.
    ConnectionDeclined {
        /// The server.
        target: TargetId,
    },
    /// Another instance reported whether a server responded to its last call.
    PeerObserved {
        /// The other instance.
        observer: InstanceId,
        /// The server.
        target: TargetId,
        /// Whether the server responded.
        responded: bool,
    },
    /// The store responded to a claim, or the claim timed out.
    ClaimResponse {
        /// The claimed term.
        term: LeaderTerm,
        /// The outcome of the claim.
        outcome: ClaimOutcome,
    },
    /// A server responded to a fence.
    FenceResponse {
        /// The requested term.
        term: LeaderTerm,
        /// The server's report after the call.
        report: ServerReport,
        /// Whether it granted the term.
        granted: bool,
    },
    /// A server responded to a promotion.
    PromoteResponse {
        /// The term of the promotion.
        term: LeaderTerm,
        /// The server's report after the call.
        report: ServerReport,
        /// Whether the server is now the primary.
        granted: bool,
    },
    /// The publication of a primary finished or failed.
    PublishResponse {
        /// The term of the publication.
        term: LeaderTerm,
        /// Whether this term or a greater one has been published.
        is_published: bool,
    },
    /// An operator requested a different primary.
    SwitchoverRequested {
        /// The server to promote; any replica if `None`.
        successor: Option<TargetId>,
    },
    /// All writes sent before the hold have ended.
    WritesDrained,
    /// Time has passed.
    Tick,
}
