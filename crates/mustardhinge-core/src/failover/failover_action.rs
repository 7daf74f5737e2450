use crate::ids::TargetId;
use crate::units::{LeaderTerm, MonotonicTime};

use super::SwitchoverRefusal;

/// What an agent has to do for a group.
///
/// Calls are sent without waiting for one another. Each may be sent again: the
/// servers answer a repeated call of the same claimant alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverAction {
    /// Ask a server for a report, now.
    RequestReport {
        /// The server.
        target: TargetId,
    },
    /// Claim a term in the platform's store.
    Claim {
        /// The term.
        term: LeaderTerm,
    },
    /// Ask a server to grant a term.
    Fence {
        /// The server.
        target: TargetId,
        /// The term.
        term: LeaderTerm,
    },
    /// Make a server the primary.
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
    /// Tell the store, the peers and the entry of the primary.
    Publish {
        /// The primary's term.
        term: LeaderTerm,
        /// The primary.
        primary: TargetId,
    },
    /// Send no new writes to the group, until released or until the time.
    HoldWrites {
        /// When the hold ends by itself.
        until: MonotonicTime,
    },
    /// Send writes again.
    ReleaseWrites,
    /// Tell the operator that the switchover does not take place.
    RefuseSwitchover(SwitchoverRefusal),
}
