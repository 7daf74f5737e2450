use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// A document that another agent has adopted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDocument {
    /// The version under which the store accepted the document.
    pub version: DocumentVersion,
    /// The update that put the document in force.
    pub operation_id: Option<OperationId>,
    /// The document, in TOML.
    pub text: String,
}
