use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mustardhinge_core::document::AdoptionOutcome;
use mustardhinge_core::drain::DrainCause;
use mustardhinge_core::key::OutageEvidence;
use mustardhinge_core::prelude::*;
use mustardhinge_process::{ProcessClock, event};
use mustardhinge_rpc::control::{ControlRequest, ControlState, GroupState};
use mustardhinge_rpc::peer::InstanceList;
use tokio::sync::watch;

use super::document_check::parse_documents;
use super::{AdoptedDocument, EntryPresence, KnownState};
use crate::platform::{ObjectList, PlatformError};

/// Maximum long-poll wait that an entry can request.
const MAX_CONTROL_WAIT: Duration = Duration::from_secs(10);

/// The agent's state, shared by its tasks, with change notifications.
pub(crate) struct SharedState {
    clock: ProcessClock,
    /// The instance of the agent.
    pub(crate) instance: InstanceId,
    /// The availability zone of the instance.
    pub(crate) zone: ZoneId,
    /// Tracks whether the entry still sends requests.
    pub(crate) entry: EntryPresence,
    known: Mutex<KnownState>,
    changed: watch::Sender<u64>,
    proven: watch::Sender<u64>,
}

impl SharedState {
    /// Creates the state of an agent.
    pub(crate) fn new(
        clock: ProcessClock,
        instance: InstanceId,
        zone: ZoneId,
        known: KnownState,
    ) -> Self {
        Self {
            clock,
            instance,
            zone,
            changed: watch::Sender::new(known.revision),
            entry: EntryPresence::default(),
            proven: watch::Sender::new(0),
            known: Mutex::new(known),
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Returns a receiver that is notified of each change that the entry needs.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns a receiver that is notified of each new proof that the documents are
    /// current and of each report that the store is unavailable.
    pub(crate) fn subscribe_proofs(&self) -> watch::Receiver<u64> {
        self.proven.subscribe()
    }

    /// Reads the state under its lock.
    pub(crate) fn read<T>(&self, reader: impl FnOnce(&KnownState) -> T) -> T {
        reader(&self.lock())
    }

    /// Changes the state; `change` returns whether subscribers have to be notified.
    pub(crate) fn update(&self, change: impl FnOnce(&mut KnownState) -> bool) -> bool {
        let mut known = self.lock();
        let changed = change(&mut known);
        if changed {
            known.revision += 1;
            self.changed.send_replace(known.revision);
        }
        changed
    }

    /// Changes the proof that the documents are current and notifies the subscribers
    /// of proofs.
    pub(crate) fn update_proof(&self, change: impl FnOnce(&mut KnownState)) {
        change(&mut self.lock());
        self.proven.send_modify(|count| *count += 1);
    }

    /// Returns the store revision up to which all documents are known.
    pub(crate) fn known_revision(&self) -> u64 {
        self.read(|known| known.store_revision)
    }

    /// Adopts the documents of a store response to a request sent at `requested_at`.
    pub(crate) fn apply_documents(&self, list: &ObjectList, requested_at: MonotonicTime) {
        self.adopt_all(parse_documents(&list.objects), list.revision);
        let reached_before = self.read(|known| known.is_platform_reachable);
        self.update_proof(|known| {
            known.proof.record_store_proof(&self.zone, requested_at);
            known.is_platform_reachable = true;
        });
        if !reached_before {
            event::PLATFORM_REACHED.log(format_args!("revision={}", list.revision));
        }
    }

    /// Records that a call to the platform started at `requested_at` failed.
    pub(crate) fn record_platform_failure(
        &self,
        error: &PlatformError,
        requested_at: MonotonicTime,
    ) {
        let reached_before = self.read(|known| known.is_platform_reachable);
        self.update_proof(|known| {
            let evidence = OutageEvidence {
                requested_at,
                known_revision: known.store_revision,
            };
            known.proof.record_outage(&self.zone, evidence);
            known.is_platform_reachable = false;
        });
        if reached_before {
            event::PLATFORM_LOST.log(format_args!("reason={}", error.label()));
        }
    }

    /// Adopts documents that, together with the known ones, are complete up to a
    /// revision of the store.
    pub(crate) fn adopt_all(&self, documents: Vec<AdoptedDocument>, store_revision: u64) {
        self.update(|known| {
            let mut changed = false;
            for document in documents {
                changed |= adopt_document(known, document);
            }
            known.store_revision = known.store_revision.max(store_revision);
            changed
        });
    }

    /// Adopts one document; returns whether it was newer.
    pub(crate) fn adopt(&self, document: AdoptedDocument) -> bool {
        self.update(|known| adopt_document(known, document))
    }

    /// Applies a list of instances.
    pub(crate) fn apply_instances(&self, list: InstanceList) {
        self.update(|known| known.apply_list(list));
        let is_leaving = self.read(|known| known.is_leaving(&self.instance));
        self.set_drain(DrainCause::InstanceList, is_leaving);
    }

    /// Starts draining for a cause, or cancels the cause.
    pub(crate) fn set_drain(&self, cause: DrainCause, is_draining: bool) {
        let now = self.now();
        let changed = self.update(|known| {
            let before = known.drain.is_draining();
            if is_draining {
                known.drain.start(cause, now);
            } else {
                known.drain.cancel(cause);
            }
            known.drain.is_draining() != before
        });
        if !changed {
            return;
        }
        let log_event = if is_draining {
            event::DRAIN_STARTED
        } else {
            event::DRAIN_ENDED
        };
        log_event.log(format_args!("cause={cause}"));
    }

    /// Applies a reported state of a database group; returns whether it changed
    /// anything.
    pub(crate) fn apply_group(&self, state: GroupState) -> bool {
        let now = self.now();
        self.update(|known| {
            let change = known.revision + 1;
            known.groups.offer(state, change, now)
        })
    }

    /// Holds the writes of a group until a deadline, or releases them.
    pub(crate) fn hold_writes(&self, group: &GroupId, until: Option<MonotonicTime>) {
        self.update(|known| {
            let change = known.revision + 1;
            known.groups.hold_writes(group, until, change)
        });
    }

    /// Returns the control state as soon as it is newer than the entry's, or the
    /// wait expires.
    pub(crate) async fn wait_control_state(&self, request: &ControlRequest) -> ControlState {
        let _pending = self.entry.start_request(|| self.now());
        let received_at = self.now();
        let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_CONTROL_WAIT);
        let mut receiver = self.subscribe();
        let incarnation = self.read(|known| known.incarnation);
        let mut after = 0;
        if request.agent_incarnation == incarnation {
            after = request.known_revision;
            let is_newer = |revision: &u64| *revision > request.known_revision;
            let _ = tokio::time::timeout(wait, receiver.wait_for(is_newer)).await;
        }
        self.read(|known| known.control_state(after, received_at, self.now()))
    }

    fn lock(&self) -> MutexGuard<'_, KnownState> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn adopt_document(known: &mut KnownState, document: AdoptedDocument) -> bool {
    let service = document.document.service.clone();
    let version = document.version;
    let outcome = known.documents.offer(&service, version, document);
    let adopted = outcome == AdoptionOutcome::Adopted;
    if adopted {
        let revision = known.revision + 1;
        known.adopted_revisions.insert(service.clone(), revision);
        known.newest_version = known.newest_version.max(version);
        event::DOCUMENT_ADOPTED.log(format_args!("service={service} version={version}"));
    }
    adopted
}
