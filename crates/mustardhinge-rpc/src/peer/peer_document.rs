use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// A document that another agent has adopted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDocument {
    /// The version under which the store accepted it.
    pub version: DocumentVersion,
    /// The update that put it in force.
    pub operation_id: Option<OperationId>,
    /// The text.
    pub text: String,
}
