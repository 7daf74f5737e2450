use std::collections::BTreeMap;
use std::time::Duration;

use mustardhinge_core::document::AdoptionTable;
use mustardhinge_core::drain::DrainState;
use mustardhinge_core::membership::{InstanceState, MemberEntry, MembershipView};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::control::ControlState;
use mustardhinge_rpc::operator::PeerSummary;
use mustardhinge_rpc::peer::InstanceList;

use super::{AdoptedDocument, GroupTable, ProofState};
use crate::peer::PeerAddress;

/// Time for which an instance is avoided after a failed call.
const PEER_FAILURE_TTL: Duration = Duration::from_secs(3);

/// The state of the agent.
#[derive(Debug)]
pub(crate) struct KnownState {
    /// The incarnation of this agent process.
    pub(crate) incarnation: u64,
    /// Incremented at each change that the entry needs.
    pub(crate) revision: u64,
    /// Store revision up to which all document changes are known.
    pub(crate) store_revision: u64,
    /// Proof that the documents are current.
    pub(crate) proof: ProofState,
    /// Whether the last call to the platform succeeded.
    pub(crate) is_platform_reachable: bool,
    /// Whether this instance is leaving.
    pub(crate) drain: DrainState,
    /// The current documents.
    pub(crate) documents: AdoptionTable<AdoptedDocument>,
    /// The greatest version of all documents.
    pub(crate) newest_version: DocumentVersion,
    /// The revision in which each document was adopted.
    pub(crate) adopted_revisions: BTreeMap<ServiceId, u64>,
    /// The known primaries of the database groups.
    pub(crate) groups: GroupTable,
    /// The platform's list of instances.
    pub(crate) instances: InstanceList,
    /// The list, corrected by observed responses and failures of the instances.
    pub(crate) members: MembershipView,
    /// The agents with which this one exchanges state.
    pub(crate) peers: BTreeMap<InstanceId, PeerSummary>,
}

impl KnownState {
    /// Creates the empty state of an agent.
    pub(crate) fn new(incarnation: u64, proof: ProofState, drain_bound: Duration) -> Self {
        Self {
            incarnation,
            revision: 1,
            store_revision: 0,
            proof,
            is_platform_reachable: false,
            drain: DrainState::new(drain_bound),
            documents: AdoptionTable::default(),
            newest_version: DocumentVersion::default(),
            adopted_revisions: BTreeMap::new(),
            groups: GroupTable::default(),
            instances: InstanceList::default(),
            members: MembershipView::new(PEER_FAILURE_TTL),
            peers: BTreeMap::new(),
        }
    }

    /// Iterates over the current documents.
    pub(crate) fn documents(&self) -> impl Iterator<Item = &AdoptedDocument> {
        let services = self.documents.versions().map(|(service, _)| service);
        services.filter_map(|service| self.document(service))
    }

    /// Iterates over the current documents whose versions are greater than a
    /// revision of the store.
    pub(crate) fn documents_after(&self, revision: u64) -> impl Iterator<Item = &AdoptedDocument> {
        let has_any = self.newest_version.get() > revision;
        let documents = has_any.then(|| self.documents());
        let documents = documents.into_iter().flatten();
        documents.filter(move |document| document.version.get() > revision)
    }

    /// Returns the current document of a service.
    pub(crate) fn document(&self, service: &ServiceId) -> Option<&AdoptedDocument> {
        let known = self.documents.get_document(service)?;
        Some(known.document.as_ref())
    }

    /// Returns whether the last exchange with any of the agents succeeded.
    pub(crate) fn has_reachable_peer(&self, peers: &[PeerAddress]) -> bool {
        let instances = peers.iter().filter_map(|peer| peer.instance.as_ref());
        let mut summaries = instances.filter_map(|instance| self.peers.get(instance));
        summaries.any(|summary| summary.reachable)
    }

    /// Applies a list of instances that is no older than the known one; returns
    /// whether anything changed.
    pub(crate) fn apply_list(&mut self, list: InstanceList) -> bool {
        if list.revision < self.instances.revision || list == self.instances {
            return false;
        }
        let members = list.instances.iter().map(|entry| {
            let member = MemberEntry {
                zone: entry.zone.clone(),
                state: entry.state,
            };
            (entry.instance.clone(), member)
        });
        self.members.on_list(list.revision, members);
        let members = &self.members;
        self.peers
            .retain(|instance, _| members.get_member(instance).is_some());
        self.instances = list;
        true
    }

    /// Returns whether an instance is listed as leaving.
    pub(crate) fn is_leaving(&self, instance: &InstanceId) -> bool {
        let member = self.members.get_member(instance);
        member.is_some_and(|member| member.state == InstanceState::Leaving)
    }

    /// Returns whether there is any proof that the documents were current.
    pub(crate) fn is_ready(&self, now: MonotonicTime) -> bool {
        self.proof_age_ms(now).is_some()
    }

    /// Returns the age of the newest proof that the documents are current.
    pub(crate) fn proof_age_ms(&self, now: MonotonicTime) -> Option<u32> {
        let age = self.proof.proof_age(self.store_revision, now)?;
        Some(u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
    }

    /// Returns the changes after the revision `after` for a request of the entry
    /// received at `received_at`.
    pub(crate) fn control_state(
        &self,
        after: u64,
        received_at: MonotonicTime,
        now: MonotonicTime,
    ) -> ControlState {
        let changed = self.adopted_revisions.iter();
        let changed = changed.filter(|(_, revision)| **revision > after);
        let documents = changed.filter_map(|(service, _)| self.document(service));
        ControlState {
            agent_incarnation: self.incarnation,
            revision: self.revision,
            proof_age_ms: self.proof_age_ms(received_at),
            draining: self.drain.is_draining(),
            services: documents.map(AdoptedDocument::to_state).collect(),
            groups: self.groups.changed_after(after, now),
        }
    }
}
