use std::collections::BTreeMap;
use std::sync::Arc;

use mustardhinge_core::prelude::*;

use super::AdoptedDocument;

/// The documents in force here; versions only grow, whoever offers them.
#[derive(Debug, Default)]
pub(crate) struct DocumentTable {
    documents: BTreeMap<ServiceId, Arc<AdoptedDocument>>,
}

impl DocumentTable {
    /// Adopts a document if it is newer; returns whether it was.
    pub(crate) fn offer(&mut self, document: AdoptedDocument) -> bool {
        let service = document.document.service.clone();
        if self.version(&service) >= Some(document.version) {
            return false;
        }
        self.documents.insert(service, Arc::new(document));
        true
    }

    /// Returns the document of a service.
    pub(crate) fn get(&self, service: &ServiceId) -> Option<&Arc<AdoptedDocument>> {
        self.documents.get(service)
    }

    /// Returns the version in force of a service.
    pub(crate) fn version(&self, service: &ServiceId) -> Option<DocumentVersion> {
        self.documents.get(service).map(|document| document.version)
    }

    /// Goes through the documents, by service.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<AdoptedDocument>> {
        self.documents.values()
    }
}
