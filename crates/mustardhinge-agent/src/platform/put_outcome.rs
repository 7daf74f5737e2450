use mustardhinge_core::prelude::*;

/// The store's answer to a conditional update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The update is in force.
    Accepted(DocumentVersion),
    /// Another version is in force, made by the given update.
    Conflict {
        /// The version in force.
        version: DocumentVersion,
        /// The update that made it.
        operation_id: Option<OperationId>,
    },
}
