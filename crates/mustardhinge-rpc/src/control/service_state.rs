use mustardhinge_config::document::ServiceDocument;
use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// A service's document and the version under which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceState {
    /// The version of the document.
    pub version: DocumentVersion,
    /// The document.
    pub document: ServiceDocument,
}
