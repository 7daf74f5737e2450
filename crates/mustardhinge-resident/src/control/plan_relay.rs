use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use mustardhinge_core::prelude::DocumentVersion;
use mustardhinge_core::primary_lease::RecordRevision;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::ControlState;
use crate::adapter::{PlatformClient, SessionCodec};
use crate::gateway::{FORWARD_PREFACE, serve_forwards};
use crate::plan::{TargetEntry, TargetsDigest};

/// Longest time for passing on what an instance knows: seconds on the slowest links.
const RELAY_LIMIT: Duration = Duration::from_secs(2);
/// Pause after a connection that could not be accepted, for want of descriptors for instance.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Most bytes that another instance may pass on: a configuration of the greatest size, and
/// a list of thousands of targets.
const RELAY_BYTES: u64 = 4 * 1024 * 1024;

/// How often the zone's reader is asked before the holder, whose link all zones share.
const RELAY_TRIES: usize = 4;
/// Pause between two such questions: a read of the store takes a few round trips.
const RELAY_PAUSE: Duration = Duration::from_millis(250);
/// Most bytes of a question for them.
const QUERY_BYTES: u64 = 256;

/// What an instance knows already, in the question for what is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RelayQuery {
    /// The version of its configuration.
    pub(super) plan_version: DocumentVersion,
    /// The revision of its list of targets.
    pub(super) targets_revision: RecordRevision,
    /// What stands for that list.
    pub(super) targets: TargetsDigest,
    /// Whether the answer may be packed.
    #[serde(default)]
    pub(super) takes_packed: bool,
}

/// The configuration and the targets as one instance knows them, as far as they are newer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedState {
    /// The configuration as the operator wrote it.
    pub plan: Option<String>,
    /// The targets.
    pub targets: Option<Vec<TargetEntry>>,
    /// The revision of the list of targets.
    pub revision: RecordRevision,
}

/// Passes on what this instance knows to each instance that asks, and takes the statements
/// that others forward.
pub async fn serve_relay<W: SessionCodec, P: PlatformClient>(
    control: Rc<ControlState<P>>,
    listener: TcpListener,
) {
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::debug!("question for the state not accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let control = Rc::clone(&control);
        spawn_local(async move {
            match timeout(RELAY_LIMIT, answer_query(&control, stream)).await {
                Ok(Ok(None)) => {}
                Ok(Ok(Some(stream))) => {
                    serve_forwards::<W>(Rc::clone(&control.node), stream).await;
                }
                Ok(Err(error)) => log::debug!("state not passed on to {from}: {error:#}"),
                Err(_) => log::debug!("state not passed on to {from} in time"),
            }
        });
    }
}

/// Answers a question for what is newer. A connection that forwards statements is handed back
/// after its preface.
async fn answer_query<P: PlatformClient>(
    control: &ControlState<P>,
    mut stream: TcpStream,
) -> anyhow::Result<Option<TcpStream>> {
    let mut question = vec![0; FORWARD_PREFACE.len()];
    stream.read_exact(&mut question).await?;
    if question == FORWARD_PREFACE {
        return Ok(Some(stream));
    }
    (&mut stream)
        .take(QUERY_BYTES)
        .read_to_end(&mut question)
        .await?;
    let query: RelayQuery = serde_json::from_slice(&question)?;
    let _permit = control.answering.acquire().await?;
    let plan = control.node.plan();
    let (targets, revision) = control.node.target_list();
    let has_plan = plan.version() > query.plan_version;
    let is_current = revision >= query.targets_revision;
    let has_targets = is_current && control.node.targets_digest() != query.targets;
    let state = || RelayedState {
        plan: has_plan.then(|| String::from_utf8_lossy(plan.source()).into_owned()),
        targets: has_targets.then_some(targets),
        revision,
    };
    let answer = if query.takes_packed {
        let digest = control.node.targets_digest();
        let key = (plan.version(), digest, (has_plan, has_targets));
        packed_answer(control, key, state)?
    } else {
        Rc::new(serde_json::to_vec(&state())?)
    };
    stream.write_all(&answer).await?;
    Ok(None)
}

/// Which state an answer was made of, and which parts of it.
pub(super) type AnswerKey = (DocumentVersion, TargetsDigest, (bool, bool));

/// Returns the packed answer. A zone that starts asks for the same one dozens of times.
fn packed_answer<P>(
    control: &ControlState<P>,
    key: AnswerKey,
    state: impl FnOnce() -> RelayedState,
) -> anyhow::Result<Rc<Vec<u8>>> {
    if let Some((known, answer)) = control.packed.borrow().as_ref()
        && *known == key
    {
        return Ok(Rc::clone(answer));
    }
    let answer = Rc::new(pack(&serde_json::to_vec(&state())?)?);
    control.packed.replace(Some((key, Rc::clone(&answer))));
    Ok(answer)
}

/// Packs an answer; configurations shrink to a tenth.
fn pack(answer: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut packed = DeflateEncoder::new(Vec::new(), Compression::fast());
    packed.write_all(answer)?;
    packed.finish()
}

/// Unpacks an answer of at most [`RELAY_BYTES`]; those of earlier versions come as plain JSON.
fn unpack(answer: Vec<u8>) -> std::io::Result<Vec<u8>> {
    if answer.starts_with(b"{") {
        return Ok(answer);
    }
    let mut plain = Vec::new();
    DeflateDecoder::new(&answer[..])
        .take(RELAY_BYTES)
        .read_to_end(&mut plain)?;
    Ok(plain)
}

/// Fetches and adopts what the instance at `address` knows; if that is nothing new, what the
/// holder knows.
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
    let before = query_of(control);
    for _ in 0..RELAY_TRIES {
        adopt_from(control, address).await;
        if query_of(control) != before {
            return;
        }
        if control.relay.get() != Some(address) {
            break;
        }
        // One that was started with this instance is still reading.
        sleep(RELAY_PAUSE).await;
    }
    let holder = control.node.election.borrow().known_leader().cloned();
    if let Some(holder) = holder.filter(|holder| holder.address != address) {
        adopt_from(control, holder.address).await;
    }
}

fn query_of<P>(control: &ControlState<P>) -> RelayQuery {
    RelayQuery {
        plan_version: control.node.plan().version(),
        targets_revision: control.node.targets_revision(),
        targets: control.node.targets_digest(),
        takes_packed: true,
    }
}

async fn adopt_from<P: PlatformClient>(control: &ControlState<P>, address: SocketAddr) {
    let fetched = timeout(RELAY_LIMIT, fetch(address, query_of(control))).await;
    let state = match fetched {
        Ok(Ok(state)) => state,
        Ok(Err(error)) => return log::debug!("state of {address} not fetched: {error}"),
        Err(_) => return log::debug!("state of {address} not fetched in time"),
    };
    if let Some(plan) = state.plan {
        match control.platform.decode_plan(plan.as_bytes()) {
            Ok(plan) => {
                control.node.adopt_plan(plan, "peer");
            }
            Err(error) => log::warn!("configuration passed on by {address} ignored: {error}"),
        }
    }
    if let Some(targets) = state.targets {
        control.node.adopt_targets(targets, state.revision);
    }
}

async fn fetch(address: SocketAddr, query: RelayQuery) -> anyhow::Result<RelayedState> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&serde_json::to_vec(&query)?).await?;
    stream.shutdown().await?;
    let mut bytes = Vec::new();
    stream.take(RELAY_BYTES).read_to_end(&mut bytes).await?;
    Ok(serde_json::from_slice(&unpack(bytes)?)?)
}
