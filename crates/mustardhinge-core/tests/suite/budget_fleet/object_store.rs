//! A simulated object store of the platform, with versions and conditional updates.

use mustardhinge_core::budget::lease::LeaseRecord;
use mustardhinge_core::budget::zone::BudgetRecord;
use mustardhinge_core::prelude::*;

use super::event::{StoreCall, StoreResponse};

#[derive(Default)]
pub(super) struct ObjectStore {
    pub(super) is_up: bool,
    pub(super) writes: u64,
    revision: DocumentVersion,
    leases: Vec<Option<(DocumentVersion, LeaseRecord)>>,
    budget: Option<(DocumentVersion, BudgetRecord)>,
}

impl ObjectStore {
    pub(super) fn new(zones: usize) -> Self {
        Self {
            is_up: true,
            leases: vec![None; zones],
            ..Self::default()
        }
    }

    /// Applies a call and returns the stored objects afterwards.
    pub(super) fn apply(&mut self, zone: usize, call: StoreCall) -> StoreResponse {
        match call {
            StoreCall::Read => {}
            StoreCall::WriteLease(expected, record) => {
                if version_of(&self.leases[zone]) == expected {
                    self.leases[zone] = Some((self.next_revision(), record));
                }
            }
            StoreCall::WriteBudget(expected, record) => {
                if version_of(&self.budget) == expected {
                    record.check().expect("agents write valid records");
                    self.budget = Some((self.next_revision(), record));
                }
            }
        }
        StoreResponse {
            lease: self.leases[zone].clone(),
            budget: self.budget.clone(),
        }
    }

    /// Returns the holder of a zone's share according to the store.
    pub(super) fn holder(&self, zone: usize) -> Option<&InstanceId> {
        let (_, record) = self.leases[zone].as_ref()?;
        record.holder.as_ref().map(|holder| &holder.instance)
    }

    fn next_revision(&mut self) -> DocumentVersion {
        self.writes += 1;
        self.revision = self.revision.next();
        self.revision
    }
}

fn version_of<T>(object: &Option<(DocumentVersion, T)>) -> DocumentVersion {
    object
        .as_ref()
        .map_or(DocumentVersion::default(), |(version, _)| *version)
}
