use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mustardhinge_core::document::AdoptionOutcome;
use mustardhinge_core::drain::DrainCause;
use mustardhinge_core::prelude::*;
use mustardhinge_process::{ProcessClock, event};
use mustardhinge_rpc::control::{ControlRequest, ControlState, GroupState};
use tokio::sync::watch;

use super::{AdoptedDocument, KnownState};
use crate::platform::{InstanceList, ObjectList, PlatformError, StoredObject};

/// The longest wait that an entry may ask for.
const MAX_CONTROL_WAIT: Duration = Duration::from_secs(10);

/// The agent's knowledge, shared by its tasks, with a signal for each change.
pub(crate) struct SharedState {
    clock: ProcessClock,
    instance: InstanceId,
    known: Mutex<KnownState>,
    changed: watch::Sender<u64>,
}

impl SharedState {
    /// Makes the state of an agent that knows nothing.
    pub(crate) fn new(
        clock: ProcessClock,
        instance: InstanceId,
        incarnation: u64,
        drain_bound: Duration,
    ) -> Self {
        let known = KnownState::new(incarnation, drain_bound);
        Self {
            clock,
            instance,
            changed: watch::Sender::new(known.revision),
            known: Mutex::new(known),
        }
    }

    /// Reads the present time.
    pub(crate) fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Returns a receiver that wakes at each change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Looks at what is known.
    pub(crate) fn read<T>(&self, look: impl FnOnce(&KnownState) -> T) -> T {
        look(&self.lock())
    }

    /// Changes what is known; `change` returns whether the entry has to hear of
    /// it.
    pub(crate) fn update(&self, change: impl FnOnce(&mut KnownState) -> bool) -> bool {
        let mut known = self.lock();
        let changed = change(&mut known);
        if changed {
            known.revision += 1;
            self.changed.send_replace(known.revision);
        }
        changed
    }

    /// Returns the store revision up to which all documents are known.
    pub(crate) fn known_revision(&self) -> u64 {
        self.read(|known| known.store_revision)
    }

    /// Adopts the documents of an answer of the store.
    pub(crate) fn take_documents(&self, list: &ObjectList, asked_at: MonotonicTime) {
        let parsed: Vec<_> = list.objects.iter().filter_map(parse_document).collect();
        let reached_before = self.read(|known| known.is_platform_reachable);
        self.update(|known| {
            let mut changed = false;
            for document in parsed {
                changed |= adopt_document(known, document);
            }
            known.store_revision = known.store_revision.max(list.revision);
            known.proven_at = known.proven_at.max(Some(asked_at));
            known.is_platform_reachable = true;
            changed
        });
        if !reached_before {
            event::PLATFORM_REACHED.log(format_args!("revision={}", list.revision));
        }
    }

    /// Notes that a call of the platform gave no answer.
    pub(crate) fn note_platform_failure(&self, error: &PlatformError) {
        let reached_before = self.read(|known| known.is_platform_reachable);
        self.update(|known| {
            known.is_platform_reachable = false;
            false
        });
        if reached_before {
            event::PLATFORM_LOST.log(format_args!("reason={}", error.label()));
        }
    }

    /// Takes in the platform's list of instances.
    pub(crate) fn take_instances(&self, list: InstanceList) {
        self.update(|known| {
            let changed = known.instances != list;
            known.instances = list;
            changed
        });
        let is_leaving = self.read(|known| known.is_leaving(&self.instance));
        self.set_drain(DrainCause::InstanceList, is_leaving);
    }

    /// Starts to drain for a cause, or takes the cause back.
    pub(crate) fn set_drain(&self, cause: DrainCause, is_draining: bool) {
        let now = self.now();
        let changed = self.update(|known| {
            let before = known.drain.is_draining();
            if is_draining {
                known.drain.start(cause, now);
            } else {
                known.drain.stop(cause);
            }
            known.drain.is_draining() != before
        });
        if changed {
            let log_event = if is_draining {
                event::DRAIN_STARTED
            } else {
                event::DRAIN_ENDED
            };
            log_event.log(format_args!("cause={cause}"));
        }
    }

    /// Adopts one document; returns whether it was newer.
    pub(crate) fn adopt(&self, document: AdoptedDocument) -> bool {
        self.update(|known| adopt_document(known, document))
    }

    /// Takes in what was seen of a database group.
    pub(crate) fn take_group(&self, state: GroupState) -> bool {
        let now = self.now();
        self.update(|known| known.groups.offer(state, now))
    }

    /// Holds the writes of a group until a time, or releases them.
    pub(crate) fn hold_writes(&self, group: &GroupId, until: Option<MonotonicTime>) {
        self.update(|known| known.groups.hold_writes(group, until));
    }

    /// Returns the control state as soon as it is newer than the one known to
    /// the entry, or the wait is over.
    pub(crate) async fn wait_control_state(&self, request: &ControlRequest) -> ControlState {
        let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_CONTROL_WAIT);
        let mut receiver = self.subscribe();
        let incarnation = self.read(|known| known.incarnation);
        if request.agent_incarnation == incarnation {
            let is_newer = |revision: &u64| *revision > request.known_revision;
            let _ = tokio::time::timeout(wait, receiver.wait_for(is_newer)).await;
        }
        self.read(|known| known.control_state(self.now()))
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
        event::DOCUMENT_ADOPTED.log(format_args!("service={service} version={version}"));
    }
    adopted
}

fn parse_document(object: &StoredObject) -> Option<AdoptedDocument> {
    let text = object.value.as_str().unwrap_or_default();
    let parsed = AdoptedDocument::parse(object.version, object.operation_id.clone(), text);
    match parsed {
        Ok(document) if document.document.service.as_str() == object.name => Some(document),
        Ok(document) => {
            let service = &document.document.service;
            log_rejected(object, &format!("its service is {service}"));
            None
        }
        Err(findings) => {
            log_rejected(object, &format!("{} findings", findings.len()));
            None
        }
    }
}

fn log_rejected(object: &StoredObject, reason: &str) {
    metrics::counter!("mustardhinge_documents_rejected_total").increment(1);
    let (name, version) = (&object.name, object.version);
    event::DOCUMENT_REJECTED.log(format_args!(
        "object={name} version={version} reason={reason:?}"
    ));
}
