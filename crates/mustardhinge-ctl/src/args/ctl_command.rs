use std::net::SocketAddr;
use std::path::PathBuf;

use mustardhinge_core::explain::ExplainQuery;
use mustardhinge_core::key::KeyDigest;
use mustardhinge_core::prelude::*;

/// What the operator wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CtlCommand {
    /// Check a document.
    Check {
        /// The file of the document.
        file: PathBuf,
    },
    /// Put a document in force.
    Apply {
        /// The file of the document.
        file: PathBuf,
        /// The version that has to be in force.
        expected_version: DocumentVersion,
    },
    /// Print the document in force.
    Show {
        /// The service.
        service: ServiceId,
    },
    /// Name what differs from the document in force.
    Diff {
        /// The file of the document.
        file: PathBuf,
    },
    /// Print what the agent knows.
    Status,
    /// Withdraw a key.
    WithdrawKey {
        /// The service.
        service: ServiceId,
        /// The customer.
        customer: CustomerId,
        /// The digest of the key; none reads the key from standard input.
        digest: Option<KeyDigest>,
    },
    /// Make a target leave, or stay after all.
    DrainTarget {
        /// The service.
        service: ServiceId,
        /// The target.
        target: TargetId,
        /// Whether it is to leave.
        draining: bool,
    },
    /// Make the agent's own instance leave, or stay after all.
    DrainInstance {
        /// Whether it is to leave.
        draining: bool,
    },
    /// Change the primary of a group.
    Switchover {
        /// The group.
        group: GroupId,
        /// The target to promote; none for the one that is furthest on.
        to: Option<TargetId>,
    },
    /// Print where an instance would route a request.
    Explain {
        /// The explain address of the instance.
        instance: SocketAddr,
        /// The request.
        query: ExplainQuery,
    },
    /// Print the digest of a key.
    KeyDigest,
}
