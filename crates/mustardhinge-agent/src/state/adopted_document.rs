use mustardhinge_config::document::ServiceDocument;
use mustardhinge_config::finding::Findings;
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::control::ServiceState;
use serde::{Deserialize, Serialize};

/// A document in force, with the text that its owners wrote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AdoptedDocument {
    /// The version under which it was accepted.
    pub(crate) version: DocumentVersion,
    /// The update that put it in force.
    pub(crate) operation_id: Option<OperationId>,
    /// The text.
    pub(crate) text: String,
    /// The text, parsed.
    pub(crate) document: ServiceDocument,
}

impl AdoptedDocument {
    /// Returns what the entry needs to know of it.
    pub(crate) fn to_state(&self) -> ServiceState {
        ServiceState {
            version: self.version,
            document: self.document.clone(),
        }
    }

    /// Parses the text of a document that the store holds.
    ///
    /// # Errors
    ///
    /// Fails with all findings.
    pub(crate) fn parse(
        version: DocumentVersion,
        operation_id: Option<OperationId>,
        text: &str,
    ) -> Result<Self, Findings> {
        Ok(Self {
            version,
            operation_id,
            text: text.to_owned(),
            document: ServiceDocument::parse(text)?,
        })
    }
}
