use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flate2::Compression;
use flate2::write::DeflateEncoder;
use mustardhinge_core::evacuation::EvacuationVersion;
use mustardhinge_core::membership::{ListUpdate, ListVersion};
use mustardhinge_core::prelude::{DocumentVersion, TargetId, ZoneId};
use mustardhinge_core::primary_lease::{RecordRevision, StoreEra};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::SemaphorePermit;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::ControlState;
use crate::adapter::{PlatformClient, SessionCodec};
use crate::gateway::{FORWARD_PREFACE, serve_forwards};
use crate::node::NodeState;
use crate::plan::{TargetEntry, TargetsDigest};

/// Maximum time without progress of a transfer.
pub(super) const PROGRESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum duration of a transfer of an instance's state, which takes seconds on the slowest links.
pub(super) const TRANSFER_TIMEOUT: Duration = Duration::from_secs(12);
/// Number of bytes that are sent within [`PROGRESS_TIMEOUT`].
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum time for which a query waits while others are served; small states are sent within it.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay after a failure to accept a connection, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum size in bytes of a query, not counting its first bytes, which are read separately to
/// recognize [`FORWARD_PREFACE`]; about twice the size with the longest numbers.
const MAX_QUERY_BYTES: u64 = 512;

/// A query for newer state, with the versions that the requester has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RelayQuery {
    /// The version of the requester's configuration.
    pub(super) plan_version: DocumentVersion,
    /// The number of the revision of the requester's list of targets.
    pub(super) targets_revision: u64,
    /// The digest of the requester's list of targets.
    pub(super) targets: TargetsDigest,
    /// Whether the response may be compressed.
    #[serde(default, rename = "takes_packed")]
    pub(super) accepts_compressed: bool,
    /// The era of that revision.
    #[serde(default)]
    pub(super) targets_era: StoreEra,
    /// The version of the requester's set of evacuated zones.
    #[serde(default, skip_serializing_if = "EvacuationVersion::is_initial")]
    pub(super) evacuations: EvacuationVersion,
    /// The address at which the requester relays its state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) sender: Option<SocketAddr>,
    /// Whether the response may contain the changes of the list of targets instead of the list.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(super) accepts_changes: bool,
}

impl RelayQuery {
    /// Returns the version of the requester's list of targets.
    pub(super) const fn list_version(&self) -> ListVersion {
        self.targets.in_era(self.targets_era)
    }

    const fn revision(&self) -> RecordRevision {
        RecordRevision::new(self.targets_era, self.targets_revision)
    }
}

/// The configuration and the targets of an instance, as far as they are newer than the
/// requester's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedState {
    /// The configuration as the operator wrote it.
    pub plan: Option<String>,
    /// The targets.
    pub targets: Option<Vec<TargetEntry>>,
    /// The number of the revision of the list of targets.
    pub revision: u64,
    /// The era of that revision.
    #[serde(default)]
    pub era: StoreEra,
    /// The set of evacuated zones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<RelayedEvacuations>,
    /// Instances that have received the state, if the responder is sending it to others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub busy: Option<Vec<SocketAddr>>,
    /// The changes of the list of targets since the requester's version, instead of the list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<RelayedChanges>,
}

/// The changes of a list of targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedChanges {
    /// The present entries of added and changed targets.
    pub entries: Vec<TargetEntry>,
    /// The removed targets.
    pub removed: Vec<TargetId>,
    /// The digest of the list with the changes.
    pub digest: TargetsDigest,
}

impl RelayedState {
    /// Returns the longest time in seconds for which one of the sent targets remains slow.
    fn cold_seconds(&self) -> u64 {
        let changed = self.changes.iter().flat_map(|changes| &changes.entries);
        let entries = self.targets.iter().flatten().chain(changed);
        let seconds = entries.map(|entry| entry.cold_left_ms.div_ceil(1_000));
        seconds.max().unwrap_or(0)
    }
}

/// The set of evacuated zones of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedEvacuations {
    /// The zones, each with the time in milliseconds for which it is known to be evacuated.
    pub zones: Vec<(ZoneId, u64)>,
    /// The revision up to which changes are included.
    pub revision: RecordRevision,
}

/// Serves connections of other instances: responds to queries for this instance's state and
/// executes forwarded statements.
pub async fn serve_relay<W: SessionCodec, P: PlatformClient>(
    control: Rc<ControlState<P>>,
    listener: TcpListener,
) {
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::debug!("failed to accept a connection from another instance: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let control = Rc::clone(&control);
        spawn_local(async move {
            match timeout(TRANSFER_TIMEOUT, handle_query(&control, stream)).await {
                Ok(Ok(None)) => {}
                Ok(Ok(Some(stream))) => {
                    serve_forwards::<W>(Rc::clone(&control.node), stream).await;
                }
                Ok(Err(error)) => log::debug!("failed to send state to {from}: {error:#}"),
                Err(_) => log::debug!("timed out sending state to {from}"),
            }
        });
    }
}

/// Responds to a query for newer state. Returns the connection instead if it starts with the
/// preface of forwarded statements.
async fn handle_query<P: PlatformClient>(
    control: &ControlState<P>,
    mut stream: TcpStream,
) -> anyhow::Result<Option<TcpStream>> {
    let mut query_bytes = vec![0; FORWARD_PREFACE.len()];
    timeout(PROGRESS_TIMEOUT, stream.read_exact(&mut query_bytes)).await??;
    if query_bytes == FORWARD_PREFACE {
        return Ok(Some(stream));
    }
    let mut rest = (&mut stream).take(MAX_QUERY_BYTES);
    timeout(PROGRESS_TIMEOUT, rest.read_to_end(&mut query_bytes)).await??;
    let query: RelayQuery = serde_json::from_slice(&query_bytes)?;
    let Some(_permit) = acquire_permit(control, &query).await? else {
        let response = serde_json::to_vec(&busy_response(control, &query))?;
        metrics::counter!("resident_state_responses_total", "result" => "busy").increment(1);
        write_chunks(&mut stream, &response).await?;
        return Ok(None);
    };
    let response = build_response(control, &query)?;
    let sent_state = current_state(control);
    write_chunks(&mut stream, &response).await?;
    metrics::counter!("resident_state_responses_total", "result" => "sent").increment(1);
    if let Some(sender) = query.sender {
        let mut sources = control.transfer_sources.borrow_mut();
        sources.record(sent_state, sender);
    }
    Ok(None)
}

/// Returns the response to a query: the parts of this instance's state that the requester lacks.
fn build_response<P>(control: &ControlState<P>, query: &RelayQuery) -> anyhow::Result<Rc<Vec<u8>>> {
    let node = &control.node;
    let plan = node.plan();
    let has_plan = plan.version() > query.plan_version;
    let evacuations = newer_evacuations(node, &query.evacuations);
    let mut state = RelayedState {
        evacuations,
        ..list_response(node, query)
    };
    let has_evacuations = state.evacuations.is_some();
    let key = ResponseKey {
        plan_version: plan.version(),
        targets: node.list_version(),
        targets_revision: node.targets_revision().number(),
        has_plan,
        has_targets: state.targets.is_some(),
        changes_since: state.changes.as_ref().map(|_| query.list_version()),
        cold_seconds: state.cold_seconds(),
    };
    let mut encode = || {
        state.plan = has_plan.then(|| String::from_utf8_lossy(plan.source()).into_owned());
        serde_json::to_vec(&state)
    };
    if !query.accepts_compressed {
        Ok(Rc::new(encode()?))
    } else if has_evacuations {
        // Not cached, since the ages grow.
        Ok(Rc::new(compress(&encode()?)?))
    } else {
        compress_response(control, key, encode)
    }
}

/// Returns the part of a response that updates the list of targets.
fn list_response(node: &NodeState, query: &RelayQuery) -> RelayedState {
    let revision = node.targets_revision();
    let digest = node.targets_digest();
    let mut state = RelayedState {
        revision: revision.number(),
        era: revision.era(),
        ..RelayedState::default()
    };
    if revision < query.revision() || digest == query.targets {
        return state;
    }
    let update = if query.accepts_changes {
        node.list_update_since(&query.list_version())
    } else {
        ListUpdate::Whole
    };
    match update {
        ListUpdate::Whole => state.targets = Some(node.target_list().0),
        ListUpdate::Changes(names) => {
            let (entries, removed) = node.changed_targets(&names);
            state.changes = Some(RelayedChanges {
                entries,
                removed,
                digest,
            });
        }
    }
    state
}

/// Waits for a permit to send a response. Returns `None` if the requester should query another
/// instance instead.
async fn acquire_permit<'a, P>(
    control: &'a ControlState<P>,
    query: &RelayQuery,
) -> anyhow::Result<Option<SemaphorePermit<'a>>> {
    let permit = control.response_permits.acquire();
    if query.sender.is_none() {
        return Ok(Some(permit.await?));
    }
    Ok(timeout(PERMIT_TIMEOUT, permit).await.ok().transpose()?)
}

/// Refers a requester to the instances that have received this instance's state.
fn busy_response<P>(control: &ControlState<P>, query: &RelayQuery) -> RelayedState {
    let sources = control.transfer_sources.borrow();
    let sender = query.sender.unwrap_or(control.node.settings.peer_address);
    RelayedState {
        busy: Some(sources.sources_for(&current_state(control), sender)),
        ..RelayedState::default()
    }
}

/// Returns the version of this instance's state.
fn current_state<P>(control: &ControlState<P>) -> StateVersion {
    let node = &control.node;
    (
        node.plan().version(),
        node.targets_digest(),
        node.evacuation_version(),
    )
}

/// Sends a response, which may take long as long as there is progress.
async fn write_chunks(stream: &mut TcpStream, response: &[u8]) -> anyhow::Result<()> {
    for chunk in response.chunks(CHUNK_BYTES) {
        timeout(PROGRESS_TIMEOUT, stream.write_all(chunk)).await??;
    }
    Ok(())
}

/// Returns the set of evacuated zones if it is newer than the requester's.
fn newer_evacuations(node: &NodeState, known: &EvacuationVersion) -> Option<RelayedEvacuations> {
    let version = node.evacuation_version();
    let now = node.clock.now();
    let age_ms = |since| u64::try_from(now.saturating_since(since).as_millis()).unwrap_or(u64::MAX);
    version.is_newer_than(known).then(|| RelayedEvacuations {
        zones: node
            .evacuated_zones()
            .into_iter()
            .map(|(zone, since)| (zone, age_ms(since)))
            .collect(),
        revision: version.revision,
    })
}

/// Versions of the configuration, the targets and the evacuated zones of an instance.
pub(super) type StateVersion = (DocumentVersion, TargetsDigest, EvacuationVersion);

/// Cache key of a compressed response: the versions of the state and the parts that it contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResponseKey {
    plan_version: DocumentVersion,
    targets: ListVersion,
    /// The number of the revision of the list, which can advance while the list stays equal.
    targets_revision: u64,
    has_plan: bool,
    has_targets: bool,
    /// The version of the list since which the response contains the changes.
    changes_since: Option<ListVersion>,
    /// The longest time in seconds for which one of the sent targets remains slow.
    cold_seconds: u64,
}

/// Returns the compressed response. The last one is cached, since the instances of a starting zone
/// request the same response dozens of times.
fn compress_response<P>(
    control: &ControlState<P>,
    key: ResponseKey,
    encode: impl FnOnce() -> serde_json::Result<Vec<u8>>,
) -> anyhow::Result<Rc<Vec<u8>>> {
    if let Some((known, response)) = control.compressed_response.borrow().as_ref()
        && *known == key
    {
        return Ok(Rc::clone(response));
    }
    let response = Rc::new(compress(&encode()?)?);
    control
        .compressed_response
        .replace(Some((key, Rc::clone(&response))));
    Ok(response)
}

/// Compresses a response; configurations shrink to a tenth of their size.
fn compress(response: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(response)?;
    encoder.finish()
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}
