use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_rpc::peer::{ExchangeReply, ExchangeRequest, PeerDocument};

use crate::state::{AdoptedDocument, KnownState, SharedState, millis};

/// Maximum long-poll wait that another agent can request.
const MAX_EXCHANGE_WAIT: Duration = Duration::from_secs(5);

/// Responds to an exchange as soon as there is an update or the wait expires.
pub(super) async fn handle_exchange(
    state: &SharedState,
    request: &ExchangeRequest,
) -> ExchangeReply {
    let received_at = state.now();
    let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_EXCHANGE_WAIT);
    let mut changes = state.subscribe();
    let mut proofs = state.subscribe_proofs();
    let is_updated = state.read(|known| has_updates(known, request));
    if !is_updated {
        tokio::select! {
            _ = changes.changed() => {}
            _ = proofs.changed() => {}
            () = tokio::time::sleep(wait) => {}
        }
    }
    state.read(|known| make_reply(state, known, request, received_at))
}

fn has_updates(known: &KnownState, request: &ExchangeRequest) -> bool {
    known.store_revision > request.store_revision
        || known.instances.revision > request.list_revision
        || known.incarnation != request.peer_incarnation
        || known.groups.last_change() > request.group_change
}

fn make_reply(
    state: &SharedState,
    known: &KnownState,
    request: &ExchangeRequest,
    received_at: MonotonicTime,
) -> ExchangeReply {
    let is_same_incarnation = known.incarnation == request.peer_incarnation;
    let group_change = if is_same_incarnation {
        request.group_change
    } else {
        0
    };
    let documents = known.documents_after(request.store_revision);
    let list = &known.instances;
    ExchangeReply {
        incarnation: known.incarnation,
        instance: state.instance.clone(),
        zone: state.zone.clone(),
        store_revision: known.store_revision,
        documents: documents.map(to_peer_document).collect(),
        list: (list.revision > request.list_revision).then(|| list.clone()),
        group_change: known.groups.last_change(),
        groups: known.groups.changed_after(group_change, state.now()),
        proof_age_ms: known.proof.store_proof_age(received_at).map(millis),
        outages: known.proof.outages(received_at),
    }
}

fn to_peer_document(document: &AdoptedDocument) -> PeerDocument {
    PeerDocument {
        version: document.version,
        operation_id: document.operation_id.clone(),
        text: document.text.clone(),
    }
}
