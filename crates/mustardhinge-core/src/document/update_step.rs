use crate::ids::OperationId;
use crate::units::DocumentVersion;

/// What to do next about a conditional update, or how it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateStep {
    /// Read the object, to find out whether the update took effect.
    Read,
    /// Send the same update again, with the same condition and operation id.
    Send,
    /// The update took effect and is in force.
    Accepted {
        /// The version it was given.
        version: DocumentVersion,
    },
    /// Another update came first; this one never took effect and never will.
    Conflict {
        /// The version in force.
        version: DocumentVersion,
        /// The operation that gave it.
        operation: OperationId,
    },
    /// Another update is in force; this one may have been in force before it.
    Superseded {
        /// The version in force.
        version: DocumentVersion,
        /// The operation that gave it.
        operation: OperationId,
    },
}
