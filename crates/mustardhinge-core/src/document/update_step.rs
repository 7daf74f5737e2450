use crate::ids::OperationId;
use crate::units::DocumentVersion;

/// The next step of a conditional update, or its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateStep {
    /// Read the object to find out whether the update took effect.
    Read,
    /// Send the update, with the same condition and operation id in each attempt.
    Send,
    /// The update took effect and is in force.
    Accepted {
        /// The version that the store assigned to the update.
        version: DocumentVersion,
    },
    /// Another update was applied first; this one did not take effect and never will.
    Conflict {
        /// The version in force.
        version: DocumentVersion,
        /// The operation that wrote this version.
        operation: OperationId,
    },
    /// Another update is in force; this one may have taken effect before it.
    Superseded {
        /// The version in force.
        version: DocumentVersion,
        /// The operation that wrote this version.
        operation: OperationId,
    },
}
