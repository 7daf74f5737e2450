//! Fetching of the configuration and the targets from another instance.

use std::io::Read;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flate2::read::DeflateDecoder;
use mustardhinge_core::membership::{QueryOutcome, SearchStep, StateSearch};
use mustardhinge_core::primary_lease::{RecordRevision, StoreEra};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::state_relay::{
    PROGRESS_TIMEOUT, RelayQuery, RelayedChanges, RelayedState, TRANSFER_TIMEOUT,
};
use super::{ControlState, NewerState, StateNotice};
use crate::adapter::PlatformClient;

/// Maximum size of a relayed state in bytes: a configuration of the maximum size and a list of
/// thousands of targets.
const MAX_STATE_BYTES: u64 = 4 * 1024 * 1024;

/// Maximum time for a connection. It is short compared with the seconds within which a configuration
/// has to take effect, so that the leader is queried in time if a partition hides the relay.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

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

/// Fetches and adopts newer state from the instance that has it or, if that has none, from the
/// leader.
pub(super) async fn fetch_state<P: PlatformClient>(
    control: Rc<ControlState<P>>,
    newer: NewerState,
) {
    if control.is_fetching.replace(true) {
        return;
    }
    fetch_newest(&control, newer).await;
    control.is_fetching.set(false);
}

async fn fetch_newest<P: PlatformClient>(control: &ControlState<P>, newer: NewerState) {
    let address = newer.address;
    let is_relay = control.relay.get() == Some(address);
    let mut search = StateSearch::new(address, is_relay, control.node.clock.now());
    let mut step = search.first_step();
    loop {
        match step {
            SearchStep::Query(source, delay) => {
                if !delay.is_zero() {
                    sleep(delay).await;
                }
                let outcome = adopt_from(control, source, newer.notice).await;
                let now = control.node.clock.now();
                step = search.next_step(source, outcome, &mut rand::rng(), now);
            }
            SearchStep::QueryLeader => {
                let leader = control.node.election.borrow().known_leader().cloned();
                let Some(leader) = leader.filter(|leader| leader.address != address) else {
                    return;
                };
                step = search.continue_at_leader(leader.address, control.node.clock.now());
            }
            SearchStep::Done => return,
        }
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
        sender: Some(control.node.settings.peer_address),
        accepts_changes: control.node.accepts_list_changes(),
    }
}

/// Queries the instance at `address` and adopts the state that it sends.
async fn adopt_from<P: PlatformClient>(
    control: &ControlState<P>,
    address: SocketAddr,
    notice: StateNotice,
) -> QueryOutcome<SocketAddr> {
    let before = current_query(control);
    let mut query = before;
    loop {
        let mut state = match timeout(TRANSFER_TIMEOUT, fetch(address, query)).await {
            Ok(Ok(state)) => state,
            Ok(Err(error)) => {
                log::debug!("failed to fetch state from {address}: {error}");
                return QueryOutcome::Unreachable;
            }
            Err(_) => {
                log::debug!("timed out fetching state from {address}");
                return QueryOutcome::Unreachable;
            }
        };
        if let Err(error) = check_eras(&state) {
            log::warn!("invalid state from {address} ignored: {error}");
            metrics::counter!("resident_invalid_states_total").increment(1);
            return QueryOutcome::Unreachable;
        }
        if let Some(sources) = state.busy {
            return QueryOutcome::Busy(sources);
        }
        let changes = state.changes.take().filter(|_| query.accepts_changes);
        let revision = RecordRevision::new(state.era, state.revision);
        adopt_state(control, state, (address, notice));
        let Some(changes) = changes else {
            break;
        };
        if adopt_changes(control, &query, changes, revision) {
            break;
        }
        query = RelayQuery {
            accepts_changes: false,
            ..current_query(control)
        };
    }
    if current_query(control) == before {
        QueryOutcome::NothingNew
    } else {
        QueryOutcome::Adopted
    }
}

/// Fails if a revision in a response belongs to an invalid era. Compared with it, all later lists
/// and evacuations would count as older until the restart.
fn check_eras(state: &RelayedState) -> anyhow::Result<()> {
    let evacuations = state.evacuations.as_ref();
    let evacuations = evacuations.map(|evacuations| evacuations.revision.era());
    for era in [Some(state.era), evacuations].into_iter().flatten() {
        anyhow::ensure!(era <= StoreEra::MAX, "invalid era {era}");
    }
    Ok(())
}

/// Applies the changes in the response to `query`. Returns whether the list then has the announced
/// version; otherwise the whole list must be fetched.
fn adopt_changes<P>(
    control: &ControlState<P>,
    query: &RelayQuery,
    changes: RelayedChanges,
    revision: RecordRevision,
) -> bool {
    let node = &control.node;
    let announced = changes.digest.in_era(revision.era());
    let is_applicable =
        node.list_version() == query.list_version() && announced.era == query.targets_era;
    if is_applicable {
        node.adopt_target_changes(changes.entries, &changes.removed, revision);
    }
    let is_complete = is_applicable && node.list_version() == announced;
    count_list(if is_complete { "changes" } else { "mismatch" });
    is_complete
}

/// Adopts the state that the instance at `address` has sent, apart from changes of the list of
/// targets.
fn adopt_state<P: PlatformClient>(
    control: &ControlState<P>,
    state: RelayedState,
    (address, notice): (SocketAddr, StateNotice),
) {
    if let Some(plan) = state.plan {
        match control.platform.decode_plan(plan.as_bytes()) {
            Ok(plan) => {
                let origin = format_args!("peer from={address} notice={notice}");
                control.node.adopt_plan(plan, origin);
            }
            Err(error) => log::warn!("invalid configuration from {address} ignored: {error}"),
        }
    }
    if let Some(targets) = state.targets {
        let revision = RecordRevision::new(state.era, state.revision);
        control.node.adopt_targets(targets, revision);
        count_list("whole");
    }
    let follows_evacuations = control.node.settings.follows_evacuations;
    if let Some(evacuations) = state.evacuations.filter(|_| follows_evacuations) {
        let now = control.node.clock.now();
        let zones = evacuations.zones.into_iter();
        let zones = zones.map(|(zone, age_ms)| (zone, now - Duration::from_millis(age_ms)));
        let revision = evacuations.revision;
        control
            .node
            .adopt_relayed_evacuations(zones.collect(), revision);
    }
}

/// Counts a received update of the list of targets.
fn count_list(result: &'static str) {
    metrics::counter!("resident_list_updates_total", "result" => result).increment(1);
}

async fn fetch(address: SocketAddr, query: RelayQuery) -> anyhow::Result<RelayedState> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.write_all(&serde_json::to_vec(&query)?).await?;
    stream.shutdown().await?;
    let mut stream = stream.take(MAX_STATE_BYTES);
    let mut bytes = Vec::new();
    while timeout(PROGRESS_TIMEOUT, stream.read_buf(&mut bytes)).await?? > 0 {}
    Ok(serde_json::from_slice(&decompress(bytes)?)?)
}
