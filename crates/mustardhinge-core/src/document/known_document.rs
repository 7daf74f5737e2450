use std::sync::Arc;

use crate::units::DocumentVersion;

/// A document and the version under which the store accepted it.
#[derive(Debug)]
pub struct KnownDocument<D> {
    /// The version.
    pub version: DocumentVersion,
    /// The document.
    pub document: Arc<D>,
}

impl<D> Clone for KnownDocument<D> {
    fn clone(&self) -> Self {
        Self {
            version: self.version,
            document: Arc::clone(&self.document),
        }
    }
}
