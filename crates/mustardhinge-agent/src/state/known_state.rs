use std::time::Duration;

use mustardhinge_core::document::AdoptionTable;
use mustardhinge_core::drain::DrainState;
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::control::ControlState;

use super::{AdoptedDocument, GroupTable};
use crate::platform::InstanceList;

/// Everything that the agent knows.
#[derive(Debug)]
pub(crate) struct KnownState {
    /// The start of this agent.
    pub(crate) incarnation: u64,
    /// Grows with each change that the entry has to hear of.
    pub(crate) revision: u64,
    /// Every document change of the store up to this revision is known.
    pub(crate) store_revision: u64,
    /// When the newest proof that the documents are current was asked for.
    pub(crate) proven_at: Option<MonotonicTime>,
    /// Whether the platform answered the last call.
    pub(crate) is_platform_reachable: bool,
    /// Whether this instance is leaving.
    pub(crate) drain: DrainState,
    /// The documents in force.
    pub(crate) documents: AdoptionTable<AdoptedDocument>,
    /// The primaries.
    pub(crate) groups: GroupTable,
    /// The platform's list of instances.
    pub(crate) instances: InstanceList,
}

impl KnownState {
    /// Makes the state of an agent that knows nothing.
    pub(crate) fn new(incarnation: u64, drain_bound: Duration) -> Self {
        Self {
            incarnation,
            revision: 1,
            store_revision: 0,
            proven_at: None,
            is_platform_reachable: false,
            drain: DrainState::new(drain_bound),
            documents: AdoptionTable::default(),
            groups: GroupTable::default(),
            instances: InstanceList {
                revision: 0,
                instances: Vec::new(),
            },
        }
    }

    /// Goes through the documents in force.
    pub(crate) fn documents(&self) -> impl Iterator<Item = &AdoptedDocument> {
        let services = self.documents.versions().map(|(service, _)| service);
        services.filter_map(|service| self.document(service))
    }

    /// Returns the document in force of a service.
    pub(crate) fn document(&self, service: &ServiceId) -> Option<&AdoptedDocument> {
        let known = self.documents.get_document(service)?;
        Some(known.document.as_ref())
    }

    /// Returns whether the list says that an instance is leaving.
    pub(crate) fn is_leaving(&self, instance: &InstanceId) -> bool {
        let mut instances = self.instances.instances.iter();
        instances.any(|entry| entry.instance == *instance && entry.state == "leaving")
    }

    /// Returns whether it was once proven that the documents are current.
    pub(crate) const fn is_ready(&self) -> bool {
        self.proven_at.is_some()
    }

    /// Returns the age of the newest proof that the documents are current.
    pub(crate) fn proof_age_ms(&self, now: MonotonicTime) -> Option<u32> {
        let age = now.saturating_since(self.proven_at?);
        Some(u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
    }

    /// Returns what the entry needs to know.
    pub(crate) fn control_state(&self, now: MonotonicTime) -> ControlState {
        ControlState {
            agent_incarnation: self.incarnation,
            revision: self.revision,
            proof_age_ms: self.proof_age_ms(now),
            draining: self.drain.is_draining(),
            services: self.documents().map(AdoptedDocument::to_state).collect(),
            groups: self.groups.changed_after(0, now),
        }
    }
}
