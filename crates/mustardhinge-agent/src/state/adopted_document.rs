use mustardhinge_config::document::ServiceDocument;
use mustardhinge_config::finding::Findings;
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::control::ServiceState;
use serde::{Deserialize, Serialize};

/// A current service document with its original text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AdoptedDocument {
    /// The version of the document in the store.
    pub(crate) version: DocumentVersion,
    /// The update that wrote this version.
    pub(crate) operation_id: Option<OperationId>,
    /// The original text.
    pub(crate) text: String,
    /// The parsed text.
    pub(crate) document: ServiceDocument,
}

impl AdoptedDocument {
    /// Returns the state of the service for the entry.
    pub(crate) fn to_state(&self) -> ServiceState {
        ServiceState {
            version: self.version,
            document: self.document.clone(),
        }
    }

    /// Parses the text of a document from the store.
    ///
    /// # Errors
    ///
    /// Returns all findings if the document is invalid.
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
