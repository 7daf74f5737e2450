use mustardhinge_core::prelude::*;

/// The store's response to a conditional update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The update was accepted.
    Accepted(DocumentVersion),
    /// Another version is current.
    Conflict {
        /// The current version.
        version: DocumentVersion,
        /// The update that wrote it.
        operation_id: Option<OperationId>,
    },
}
