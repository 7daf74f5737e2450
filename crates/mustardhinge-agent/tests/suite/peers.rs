use std::time::{Duration, Instant};

use mustardhinge_agent::AgentProcess;
use mustardhinge_core::budget::lease::LeaseTerms;
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::PeerApiClient;
use mustardhinge_rpc::control::{ControlState, GroupState};
use mustardhinge_rpc::peer::{ExchangeRequest, PROTOCOL_VERSION, PeerError, PrimaryQuestion};
use mustardhinge_standins::platform::CallKind;
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::scaffold::{
    Fleet, SERVICE, control_client, control_state, wait_for_primary, wait_for_state,
};
use super::stall_watch::StallWatch;

/// How long agents need to settle after the machine stood still: the exchanges
/// that ran out of time, their repetition, and watches of the store meanwhile.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// How often a measurement is begun on a machine that stands still again and
/// again, before the test fails.
const MAX_MEASUREMENTS: usize = 6;

/// Number of zones of a fleet.
const ZONE_COUNT: u64 = 3;
/// Length of the measurement of calls that must not grow: longer than the longest wait of a
/// watch, so that the phase of the calls matters little.
const GROWTH_WINDOW: Duration = Duration::from_secs(15);
/// Wait of an agent's watch of the documents.
const PROOF_WAIT: Duration = Duration::from_millis(400);
/// Wait of an agent's watch of the instances.
const LIST_WAIT: Duration = Duration::from_secs(10);
/// Wait of an agent's watch of the shares.
const SHARES_WAIT: Duration = Duration::from_secs(10);
/// Interval at which a holder plans moves of its shares.
const SHARES_PERIOD: Duration = Duration::from_secs(10);
/// Interval of an agent's reads of a lease that another one holds.
const LEASE_READ_INTERVAL: Duration = Duration::from_secs(2);

fn has_rate(state: &ControlState, rate: &str) -> bool {
    let service = state.services.first();
    service.is_some_and(|service| service.document.customers[0].rate.to_string() == rate)
}

async fn wait_for_rate(agent: &AgentProcess, rate: &str) {
    wait_for_state(agent, rate, |state| has_rate(state, rate)).await;
}

async fn start_instances(fleet: &Fleet, count: usize) -> Vec<AgentProcess> {
    let mut agents = Vec::new();
    for number in 0..count {
        let name = format!("i-{number}");
        agents.push(fleet.start_instance(&name, number % 3, "").await);
    }
    for agent in &agents {
        wait_for_rate(agent, "40/s").await;
    }
    agents
}

/// Returns the platform's calls in three seconds, by agents that have settled.
async fn count_calls(fleet: &Fleet, watch: &StallWatch) -> u64 {
    for _ in 0..MAX_MEASUREMENTS {
        let settled_from = Instant::now();
        sleep(SETTLE_TIME).await;
        let calls = count_calls_at_once(fleet).await;
        if watch.is_steady_since(settled_from).await {
            return calls;
        }
    }
    panic!("the machine stood still in each of {MAX_MEASUREMENTS} measurements");
}

async fn count_calls_at_once(fleet: &Fleet) -> u64 {
    let before = fleet.platform.calls().total();
    sleep(Duration::from_secs(3)).await;
    fleet.platform.calls().total() - before
}

/// Returns the greatest age in milliseconds that an agent's proof has while it
/// is looked at: `u32::MAX` if it has none, nothing if the machine stood still.
async fn oldest_proof(agent: &AgentProcess, time: Duration, watch: &StallWatch) -> Option<u32> {
    let looked_from = Instant::now();
    let mut oldest = 0;
    while looked_from.elapsed() < time {
        let age_ms = control_state(agent).await.proof_age_ms;
        oldest = oldest.max(age_ms.unwrap_or(u32::MAX));
        sleep(Duration::from_millis(50)).await;
    }
    let is_steady = watch.is_steady_since(looked_from).await;
    eprintln!("oldest proof: {oldest} ms, steady machine: {is_steady}");
    is_steady.then_some(oldest)
}

/// Returns the most calls that `period` apart can start within `window`.
fn most_starts(window: Duration, period: Duration) -> u64 {
    u64::try_from(window.as_millis() / period.as_millis()).unwrap() + 1
}

/// Returns the most calls of each kind within `window`, whatever the number of instances and the
/// phase of each call.
fn most_calls(window: Duration) -> [(CallKind, u64); 4] {
    let documents = most_starts(window, PROOF_WAIT);
    let share_writes = most_starts(window, SHARES_PERIOD);
    // Each write of a zone's shares wakes the watch of each holder.
    let shares = most_starts(window, SHARES_WAIT) + ZONE_COUNT * share_writes;
    let renewals = most_starts(window, LeaseTerms::default().renewal_period());
    // The instance that ranks before the holder of the lease reads it.
    let reads = most_starts(window, LEASE_READ_INTERVAL);
    // A write of the shares that conflicts with another zone's is read and repeated once.
    [
        (CallKind::Watch, documents + shares),
        (CallKind::Instances, most_starts(window, LIST_WAIT)),
        (CallKind::Get, reads + share_writes),
        (CallKind::Put, renewals + 2 * share_writes),
    ]
    .map(|(kind, calls)| (kind, ZONE_COUNT * calls))
}

/// Instances that call the store themselves would overload it: the calls depend on the number of
/// zones alone. A slow machine makes fewer calls; extra ones are accepted only in a measurement
/// in which the machine stood still, since an instance that doesn't hear its relay then watches
/// the store for a moment.
#[tokio::test]
async fn platform_calls_do_not_grow_with_instances() {
    let watch = StallWatch::start();
    let fleet = Fleet::start().await;
    let agents = start_instances(&fleet, 6).await;
    let mut more = start_instances_from(&fleet, 6, 24).await;
    more.extend(agents);
    for _ in 0..MAX_MEASUREMENTS {
        sleep(SETTLE_TIME).await;
        let measured_from = Instant::now();
        let before = fleet.platform.calls();
        sleep(GROWTH_WINDOW).await;
        let (after, window) = (fleet.platform.calls(), measured_from.elapsed());
        let calls = |kind| after.of(kind) - before.of(kind);
        let most = most_calls(window);
        eprintln!(
            "platform calls in {window:?}: before {before:?}, after {after:?}, most {most:?}"
        );
        if most.iter().all(|(kind, most)| calls(*kind) <= *most) {
            let watches = calls(CallKind::Watch);
            let least = ZONE_COUNT * most_starts(window, PROOF_WAIT * 2);
            assert!(watches >= least, "{watches} watches, at least {least}");
            return;
        }
        let is_steady = watch.is_steady_since(measured_from).await;
        assert!(!is_steady, "more calls than {most:?}");
    }
    panic!("too many calls in each of {MAX_MEASUREMENTS} measurements on a stalling machine");
}

async fn start_instances_from(fleet: &Fleet, from: usize, to: usize) -> Vec<AgentProcess> {
    let mut agents = Vec::new();
    for number in from..to {
        let name = format!("i-{number}");
        agents.push(fleet.start_instance(&name, number % 3, "").await);
    }
    agents
}

#[tokio::test]
async fn a_change_reaches_every_instance_with_proof() {
    let fleet = Fleet::start().await;
    let agents = start_instances(&fleet, 7).await;
    sleep(Duration::from_secs(3)).await;
    let version = fleet
        .platform
        .object("service", "haulage-1")
        .unwrap()
        .version;
    fleet.put_document(version, "second", &fleet.document("41/s"));
    for agent in &agents {
        wait_for_rate(agent, "41/s").await;
        let state = control_state(agent).await;
        assert!(state.proof_age_ms < Some(2_000), "{:?}", state.proof_age_ms);
    }
}

#[tokio::test]
async fn an_instance_starts_from_its_peers_while_the_store_is_out() {
    let fleet = Fleet::start().await;
    let agents = start_instances(&fleet, 3).await;
    wait_for_primary(&agents[0], 0).await;
    fleet.platform.set_frozen(true);
    let peers = format!("peers = ['{}']", agents[0].address());
    let late = fleet.start_instance("late", 1, &peers).await;
    wait_for_rate(&late, "40/s").await;
    wait_for_primary(&late, 0).await;
}

#[tokio::test]
async fn keys_keep_their_proof_while_a_majority_of_zones_finds_the_store_out() {
    let fleet = Fleet::start().await;
    let agents = start_instances(&fleet, 3).await;
    sleep(Duration::from_secs(1)).await;
    fleet.platform.set_frozen(true);
    sleep(Duration::from_secs(5)).await;
    for agent in &agents {
        let state = control_state(agent).await;
        assert!(
            state.proof_age_ms <= Some(2_500),
            "{:?}",
            state.proof_age_ms
        );
    }
}

#[tokio::test]
async fn an_instance_cut_off_from_store_and_peers_has_no_fresh_proof() {
    let fleet = Fleet::start().await;
    let mut agents = start_instances(&fleet, 3).await;
    sleep(Duration::from_secs(1)).await;
    let alone = agents.remove(0);
    for agent in agents {
        agent.stop().await;
    }
    fleet.platform.set_frozen(true);
    sleep(Duration::from_secs(4)).await;
    let state = control_state(&alone).await;
    assert!(state.proof_age_ms > Some(2_500), "{:?}", state.proof_age_ms);
}

#[tokio::test]
async fn a_new_primary_reaches_instances_that_do_not_watch_the_group() {
    let fleet = Fleet::start().await;
    let agents = start_instances(&fleet, 7).await;
    let (term, primary) = wait_for_primary(&agents[6], 0).await;
    fleet.platform.set_frozen(true);
    fleet.target(&primary).set_down(true);
    for agent in &agents {
        wait_for_primary(agent, term.get()).await;
    }
}

fn exchange_request(protocol: u32, groups: Vec<GroupState>) -> ExchangeRequest {
    ExchangeRequest {
        protocol,
        instance: "other".parse().unwrap(),
        store_revision: 0,
        list_revision: 0,
        peer_incarnation: 0,
        group_change: 0,
        groups,
        wait_ms: 0,
    }
}

#[tokio::test]
async fn another_version_of_the_calls_is_refused() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let request = exchange_request(PROTOCOL_VERSION + 1, Vec::new());
    let answer = control_client(&agent).exchange(request).await.unwrap();
    assert_eq!(answer, Err(PeerError::OtherProtocol));
}

#[tokio::test]
async fn an_old_message_about_a_group_changes_nothing() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let known = wait_for_primary(&agent, 0).await;
    let old = GroupState {
        group: SERVICE.parse().unwrap(),
        term: LeaderTerm::new(0),
        primary: Some(format!("{SERVICE}-3").parse().unwrap()),
        writes_held_ms: 60_000,
    };
    let request = exchange_request(PROTOCOL_VERSION, vec![old]);
    let reply = control_client(&agent)
        .exchange(request)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(reply.groups[0].writes_held_ms, 0);
    assert_eq!(wait_for_primary(&agent, 0).await, known);
}

#[tokio::test]
async fn a_watcher_says_whether_it_hears_a_target() {
    let fleet = Fleet::start().await;
    let agent = fleet.start_agent(0, "").await;
    let (_, primary) = wait_for_primary(&agent, 0).await;
    let question = PrimaryQuestion {
        group: SERVICE.parse().unwrap(),
        target: primary.clone(),
    };
    let client = control_client(&agent);
    let answer = client.hears_target(question.clone()).await.unwrap();
    assert_eq!(answer.answered, Some(true));
    for target in &fleet.targets.targets {
        target.set_frozen(true);
    }
    sleep(Duration::from_millis(800)).await;
    let answer = client.hears_target(question).await.unwrap();
    assert_eq!(answer.answered, Some(false));
}

/// The store is out by holding its calls up, not by a frozen process: that one
/// would find the calls of the outage, long given up, in its queue, and count
/// them when it runs again.
#[tokio::test]
async fn agents_do_not_rush_at_a_store_that_comes_back() {
    let watch = StallWatch::start();
    let fleet = Fleet::start().await;
    let _agents = start_instances(&fleet, 12).await;
    let steady = count_calls(&fleet, &watch).await;
    for _ in 0..MAX_MEASUREMENTS {
        let settled_from = Instant::now();
        sleep(SETTLE_TIME).await;
        fleet
            .platform
            .change_faults(|faults| faults.slow_ms = 60_000);
        sleep(Duration::from_secs(4)).await;
        fleet.platform.change_faults(|faults| faults.slow_ms = 0);
        let after = count_calls_at_once(&fleet).await;
        eprintln!("platform calls in 3 s: steady {steady}, after an outage {after}");
        if watch.is_steady_since(settled_from).await {
            assert!(
                after <= 2 * steady,
                "steady {steady}, after an outage {after}"
            );
            return;
        }
    }
    panic!("the machine stood still in each of {MAX_MEASUREMENTS} measurements");
}

/// Returns the oldest proofs after the deaths of two of three agents; nothing if
/// the machine stood still.
async fn proofs_after_deaths(watch: &StallWatch) -> Option<[u32; 2]> {
    let fleet = Fleet::start().await;
    let mut agents = Vec::new();
    for name in ["a", "b", "c"] {
        agents.push(fleet.start_instance(name, 0, "").await);
    }
    for agent in &agents {
        wait_for_rate(agent, "40/s").await;
    }
    let settled_from = Instant::now();
    sleep(SETTLE_TIME).await;
    let mut oldest = [0; 2];
    for oldest in &mut oldest {
        drop(agents.remove(0));
        *oldest = oldest_proof(&agents[0], Duration::from_secs(4), watch).await?;
    }
    watch.is_steady_since(settled_from).await.then_some(oldest)
}

#[tokio::test]
async fn proof_stays_young_when_the_agent_above_dies() {
    let watch = StallWatch::start();
    for _ in 0..MAX_MEASUREMENTS {
        if let Some(oldest) = proofs_after_deaths(&watch).await {
            assert!(oldest.iter().all(|oldest| *oldest < 2_500), "{oldest:?}");
            return;
        }
    }
    panic!("the machine stood still in each of {MAX_MEASUREMENTS} measurements");
}

#[tokio::test]
async fn proof_stays_young_among_instances_that_do_not_answer() {
    let watch = StallWatch::start();
    let fleet = Fleet::start().await;
    let mut listeners = Vec::new();
    for number in 0..16 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        fleet.list_instance(&format!("mute-{number}"), 0, address);
        listeners.push(listener);
    }
    let agent = fleet.start_agent(0, "").await;
    wait_for_rate(&agent, "40/s").await;
    for _ in 0..MAX_MEASUREMENTS {
        let looked_for = Duration::from_secs(6);
        if let Some(oldest) = oldest_proof(&agent, looked_for, &watch).await {
            assert!(oldest < 2_000, "{oldest}");
            return;
        }
    }
    panic!("the machine stood still in each of {MAX_MEASUREMENTS} measurements");
}
