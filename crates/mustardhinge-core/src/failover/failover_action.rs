use crate::ids::TargetId;
use crate::units::{LeaderTerm, MonotonicTime};

use super::SwitchoverRefusal;

/// An action that an agent has to perform for a group.
///
/// Calls are sent concurrently and may be resent: a server gives the same
/// response to a repeated call of the same claimant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverAction {
    /// Request a report from a server immediately.
    RequestReport {
        /// The server.
        target: TargetId,
    },
    /// Claim a term in the platform's store.
    Claim {
        /// The term.
        term: LeaderTerm,
    },
    /// Request the grant of a term from a server.
    Fence {
        /// The server.
        target: TargetId,
        /// The term.
        term: LeaderTerm,
    },
    /// Promote a server to primary.
    Promote {
        /// The server.
        target: TargetId,
        /// The term.
        term: LeaderTerm,
    },
    /// Make a server follow the primary.
    Follow {
        /// The server.
        target: TargetId,
        /// The primary's term.
        term: LeaderTerm,
        /// The primary.
        primary: TargetId,
    },
    /// Publish the primary to the store, the peers and the entry.
    Publish {
        /// The primary's term.
        term: LeaderTerm,
        /// The primary.
        primary: TargetId,
    },
    /// Hold new writes to the group until released or until the deadline.
    HoldWrites {
        /// The deadline after which the hold expires.
        until: MonotonicTime,
    },
    /// Release the held writes.
    ReleaseWrites,
    /// Reject the operator's switchover request.
    RefuseSwitchover(SwitchoverRefusal),
}
