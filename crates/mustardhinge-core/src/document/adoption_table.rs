use std::collections::BTreeMap;
use std::sync::Arc;

use super::{AdoptionOutcome, KnownDocument};
use crate::ids::ServiceId;
use crate::units::DocumentVersion;

/// The documents in force on one instance.
///
/// The version of a document only increases, regardless of its source.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::document::{AdoptionOutcome, AdoptionTable};
/// use mustardhinge_core::prelude::*;
///
/// let mut table = AdoptionTable::default();
/// let service: ServiceId = "haulage".parse().unwrap();
/// table.offer(&service, DocumentVersion::new(7), "new");
/// let outcome = table.offer(&service, DocumentVersion::new(6), "old");
/// assert_eq!(outcome, AdoptionOutcome::Older);
/// ```
#[derive(Clone, Debug)]
pub struct AdoptionTable<D> {
    documents: BTreeMap<ServiceId, KnownDocument<D>>,
}

impl<D> Default for AdoptionTable<D> {
    fn default() -> Self {
        Self {
            documents: BTreeMap::new(),
        }
    }
}

impl<D> AdoptionTable<D> {
    /// Adopts the document if its version is newer than the one in force.
    pub fn offer(
        &mut self,
        service: &ServiceId,
        version: DocumentVersion,
        document: D,
    ) -> AdoptionOutcome {
        let in_force = self.get_version(service);
        if in_force == Some(version) {
            return AdoptionOutcome::Known;
        }
        if in_force > Some(version) {
            return AdoptionOutcome::Older;
        }
        let document = KnownDocument {
            version,
            document: Arc::new(document),
        };
        self.documents.insert(service.clone(), document);
        AdoptionOutcome::Adopted
    }

    /// Returns the document in force for a service.
    #[must_use]
    pub fn get_document(&self, service: &ServiceId) -> Option<&KnownDocument<D>> {
        self.documents.get(service)
    }

    /// Returns the version in force for a service.
    #[must_use]
    pub fn get_version(&self, service: &ServiceId) -> Option<DocumentVersion> {
        self.documents.get(service).map(|known| known.version)
    }

    /// Returns each service with the version in force, ordered by service id.
    pub fn versions(&self) -> impl Iterator<Item = (&ServiceId, DocumentVersion)> {
        let version = |(service, known): (_, &KnownDocument<D>)| (service, known.version);
        self.documents.iter().map(version)
    }

    /// Returns the services for which this instance has a newer version than the peer.
    #[must_use]
    pub fn newer_than(&self, peer: &BTreeMap<ServiceId, DocumentVersion>) -> Vec<ServiceId> {
        self.versions()
            .filter(|(service, version)| peer.get(*service) < Some(version))
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Returns the services for which the peer has a newer version than this instance.
    #[must_use]
    pub fn older_than(&self, peer: &BTreeMap<ServiceId, DocumentVersion>) -> Vec<ServiceId> {
        peer.iter()
            .filter(|(service, version)| self.get_version(service) < Some(**version))
            .map(|(service, _)| service.clone())
            .collect()
    }
}
