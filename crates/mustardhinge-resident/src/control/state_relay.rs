use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use mustardhinge_core::evacuation::EvacuationVersion;
use mustardhinge_core::prelude::{DocumentVersion, ZoneId};
use mustardhinge_core::primary_lease::{RecordRevision, StoreEra};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::ControlState;
use crate::adapter::{PlatformClient, SessionCodec};
use crate::gateway::{FORWARD_PREFACE, serve_forwards};
use crate::node::NodeState;
use crate::plan::{TargetEntry, TargetsDigest};

/// Timeout for the transfer of an instance's state, which takes seconds on the slowest links.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failure to accept a connection, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum size of a relayed state in bytes: a configuration of the maximum size and a list of
/// thousands of targets.
const MAX_STATE_BYTES: u64 = 4 * 1024 * 1024;

/// Number of queries to the zone's relay before the leader is queried, whose network link is shared
/// by all zones.
const RELAY_ATTEMPTS: usize = 4;
/// Interval between these queries: the relay's read of the store takes a few round trips.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(250);
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
}

impl RelayQuery {
    const fn revision(&self) -> RecordRevision {
        RecordRevision::new(self.targets_era, self.targets_revision)
    }
}

/// The configuration and the targets of an instance, as far as they are newer than the
/// requester's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
    stream.read_exact(&mut query_bytes).await?;
    if query_bytes == FORWARD_PREFACE {
        return Ok(Some(stream));
    }
    (&mut stream)
        .take(MAX_QUERY_BYTES)
        .read_to_end(&mut query_bytes)
        .await?;
    let query: RelayQuery = serde_json::from_slice(&query_bytes)?;
    let _permit = control.response_permits.acquire().await?;
    let plan = control.node.plan();
    let (targets, revision) = control.node.target_list();
    let cold_seconds = targets
        .iter()
        .map(|entry| entry.cold_left_ms.div_ceil(1_000));
    let cold_seconds = cold_seconds.max().unwrap_or(0);
    let has_plan = plan.version() > query.plan_version;
    let is_current = revision >= query.revision();
    let has_targets = is_current && control.node.targets_digest() != query.targets;
    let evacuations = newer_evacuations(&control.node, &query.evacuations);
    let state = || RelayedState {
        plan: has_plan.then(|| String::from_utf8_lossy(plan.source()).into_owned()),
        targets: has_targets.then_some(targets),
        revision: revision.number(),
        era: revision.era(),
        evacuations: evacuations.clone(),
    };
    let response = if evacuations.is_some() {
        // Not cached, since the ages grow.
        let bytes = serde_json::to_vec(&state())?;
        Rc::new(if query.accepts_compressed {
            compress(&bytes)?
        } else {
            bytes
        })
    } else if query.accepts_compressed {
        let digest = control.node.targets_digest();
        let key = (
            plan.version(),
            digest,
            revision.era(),
            (has_plan, has_targets),
            cold_seconds,
        );
        compress_response(control, key, state)?
    } else {
        Rc::new(serde_json::to_vec(&state())?)
    };
    stream.write_all(&response).await?;
    Ok(None)
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

/// Cache key of a compressed response: the versions of the state, the parts that it contains, and
/// the longest time in seconds for which a target remains slow.
pub(super) type ResponseKey = (DocumentVersion, TargetsDigest, StoreEra, (bool, bool), u64);

/// Returns the compressed response. The last one is cached, since the instances of a starting zone
/// request the same response dozens of times.
fn compress_response<P>(
    control: &ControlState<P>,
    key: ResponseKey,
    state: impl FnOnce() -> RelayedState,
) -> anyhow::Result<Rc<Vec<u8>>> {
    if let Some((known, response)) = control.compressed_response.borrow().as_ref()
        && *known == key
    {
        return Ok(Rc::clone(response));
    }
    let response = Rc::new(compress(&serde_json::to_vec(&state())?)?);
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

/// Decompresses a response of at most [`MAX_STATE_BYTES`]; earlier versions send plain JSON.
fn decompress(response: Vec<u8>) -> std::io::Result<Vec<u8>> {
    if response.starts_with(b"{") {
        return Ok(response);
    }
    let mut decompressed = Vec::new();
    DeflateDecoder::new(&response[..])
        .take(MAX_STATE_BYTES)
        .read_to_end(&mut decompressed)?;
    Ok(decompressed)
}

/// Fetches and adopts the state of the instance at `address` or, if it has no newer state, that of
/// the leader.
pub(super) async fn fetch_state<P: PlatformClient>(
    control: Rc<ControlState<P>>,
    address: SocketAddr,
) {
    if control.is_fetching.replace(true) {
        return;
    }
    fetch_newest(&control, address).await;
    control.is_fetching.set(false);
}

async fn fetch_newest<P: PlatformClient>(control: &ControlState<P>, address: SocketAddr) {
    let before = current_query(control);
    for _ in 0..RELAY_ATTEMPTS {
        adopt_from(control, address).await;
        if current_query(control) != before {
            return;
        }
        if control.relay.get() != Some(address) {
            break;
        }
        // A relay that was started together with this instance may still be reading the store.
        sleep(RELAY_RETRY_DELAY).await;
    }
    let leader = control.node.election.borrow().known_leader().cloned();
    if let Some(leader) = leader.filter(|leader| leader.address != address) {
        adopt_from(control, leader.address).await;
    }
}

fn current_query<P>(control: &ControlState<P>) -> RelayQuery {
    RelayQuery {
        plan_version: control.node.plan().version(),
        targets_revision: control.node.targets_revision().number(),
        targets_era: control.node.targets_revision().era(),
        targets: control.node.targets_digest(),
        accepts_compressed: true,
        evacuations: control.node.evacuation_version(),
    }
}

async fn adopt_from<P: PlatformClient>(control: &ControlState<P>, address: SocketAddr) {
    let fetched = timeout(TRANSFER_TIMEOUT, fetch(address, current_query(control))).await;
    let state = match fetched {
        Ok(Ok(state)) => state,
        Ok(Err(error)) => return log::debug!("failed to fetch state from {address}: {error}"),
        Err(_) => return log::debug!("timed out fetching state from {address}"),
    };
    if let Some(plan) = state.plan {
        match control.platform.decode_plan(plan.as_bytes()) {
            Ok(plan) => {
                control.node.adopt_plan(plan, "peer");
            }
            Err(error) => log::warn!("invalid configuration from {address} ignored: {error}"),
        }
    }
    if let Some(targets) = state.targets {
        let revision = RecordRevision::new(state.era, state.revision);
        control.node.adopt_targets(targets, revision);
    }
    let follows_evacuations = control.node.settings.follows_evacuations;
    if let Some(evacuations) = state.evacuations.filter(|_| follows_evacuations) {
        let now = control.node.clock.now();
        let zones = evacuations.zones.into_iter();
        let zones = zones.map(|(zone, age_ms)| (zone, now - Duration::from_millis(age_ms)));
        let revision = evacuations.revision;
        control
            .node
            .adopt_evacuations(zones.collect(), revision, "peer");
    }
}

async fn fetch(address: SocketAddr, query: RelayQuery) -> anyhow::Result<RelayedState> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&serde_json::to_vec(&query)?).await?;
    stream.shutdown().await?;
    let mut bytes = Vec::new();
    stream.take(MAX_STATE_BYTES).read_to_end(&mut bytes).await?;
    Ok(serde_json::from_slice(&decompress(bytes)?)?)
}
