use std::sync::Arc;

use crate::units::DocumentVersion;

/// A document with the version that the store assigned to it.
#[derive(Debug)]
pub struct KnownDocument<D> {
    /// The version that the store assigned.
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
