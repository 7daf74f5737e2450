use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use mustardhinge_agent::AgentProcess;
use mustardhinge_core::budget::{Admission, ClientId, EntryAllowance};
use mustardhinge_core::prelude::*;
use mustardhinge_process::ProcessClock;
use mustardhinge_rpc::AgentApiClient;
use mustardhinge_rpc::budget::BudgetRequest;
use tokio::time::{Instant, sleep};

use super::scaffold::{Fleet, PATIENCE, SERVICE, wait_for_state};

/// Those of the customer in the test's document.
const RATE: f64 = 40.0;
const BURST: f64 = 80.0;

/// An entry that sends all that it may for one customer.
struct GreedyEntry {
    clock: ProcessClock,
    allowance: EntryAllowance,
    client: HttpClient,
    admitted: u32,
}

impl GreedyEntry {
    fn new(agent: &AgentProcess, own_zone: usize) -> Self {
        let mut zones: Vec<ZoneId> = ["muscat-1", "muscat-2", "muscat-3"]
            .iter()
            .map(|zone| zone.parse().unwrap())
            .collect();
        let zone = zones.remove(own_zone);
        let clock = ProcessClock::start();
        let client = ClientId {
            instance: format!("entry-{own_zone}").parse().unwrap(),
            incarnation: rand::random(),
        };
        let url = format!("http://{}", agent.address());
        Self {
            allowance: EntryAllowance::new(client, zone, zones, clock.now()),
            client: HttpClient::builder().build(url).unwrap(),
            clock,
            admitted: 0,
        }
    }

    async fn run(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            while self.allowance.try_admit(self.clock.now()) == Admission::Admitted {
                self.admitted += 1;
            }
            if !self.ask().await {
                sleep(Duration::from_millis(2)).await;
            }
        }
    }

    async fn ask(&mut self) -> bool {
        let Some((zone, ask)) = self.allowance.next_request(5, self.clock.now()) else {
            return false;
        };
        let sequence = ask.sequence;
        let request = BudgetRequest {
            service: SERVICE.parse().unwrap(),
            customer: "seeb".parse().unwrap(),
            ledger_zone: zone.clone(),
            ask,
        };
        let grant = self.client.acquire_budget(request).await;
        let now = self.clock.now();
        match grant.map(|grant| grant.result) {
            Ok(Ok(answer)) => self.allowance.on_response(&zone, &answer, now),
            _ => self.allowance.on_failure(&zone, sequence, now),
        }
        true
    }
}

async fn start_zones(fleet: &Fleet) -> Vec<AgentProcess> {
    let mut agents = Vec::new();
    for zone in 0..3 {
        agents.push(fleet.start_agent(zone, "").await);
    }
    for agent in &agents {
        wait_for_state(agent, "the document", |state| !state.services.is_empty()).await;
    }
    agents
}

/// Waits until an entry gets a first request out of the zone's ledger.
async fn wait_for_grant(entry: &mut GreedyEntry) {
    let deadline = Instant::now() + PATIENCE;
    while entry.admitted == 0 {
        assert!(Instant::now() < deadline, "no budget came");
        entry.run(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn one_hot_instance_gets_the_rate_of_all_zones_and_no_more() {
    let fleet = Fleet::start().await;
    let agents = start_zones(&fleet).await;
    let started_at = Instant::now();
    let mut entry = GreedyEntry::new(&agents[0], 0);
    wait_for_grant(&mut entry).await;
    entry.run(Duration::from_secs(4)).await;
    let most = BURST + RATE * started_at.elapsed().as_secs_f64();
    let admitted = f64::from(entry.admitted);
    eprintln!("admitted {admitted} of at most {most:.0}");
    assert!(admitted <= most);
    assert!(admitted >= RATE * 4.0 * 0.6, "{admitted}");
}

#[tokio::test]
async fn entries_in_all_zones_together_stay_within_the_rate() {
    let fleet = Fleet::start().await;
    let agents = start_zones(&fleet).await;
    let started_at = Instant::now();
    let mut entries: Vec<_> = (0..3)
        .map(|zone| GreedyEntry::new(&agents[zone], zone))
        .collect();
    let [first, second, third] = &mut entries[..] else {
        unreachable!("there are three zones");
    };
    let time = Duration::from_secs(4);
    tokio::join!(first.run(time), second.run(time), third.run(time));
    let most = BURST + RATE * started_at.elapsed().as_secs_f64();
    let admitted: u32 = entries.iter().map(|entry| entry.admitted).sum();
    eprintln!("admitted {admitted} of at most {most:.0}");
    assert!(f64::from(admitted) <= most);
}

#[tokio::test]
async fn a_planned_stop_gives_the_share_back() {
    let fleet = Fleet::start().await;
    let first = fleet.start_instance("first", 0, "").await;
    let mut entry = GreedyEntry::new(&first, 0);
    wait_for_grant(&mut entry).await;
    let second = fleet.start_instance("second", 0, "").await;
    first.stop().await;
    fleet.platform.remove_instance("first");
    let stopped_at = Instant::now();
    let mut entry = GreedyEntry::new(&second, 0);
    wait_for_grant(&mut entry).await;
    eprintln!(
        "share taken over in {} ms",
        stopped_at.elapsed().as_millis()
    );
    assert!(
        stopped_at.elapsed() < Duration::from_secs(5),
        "the lease was left to run out"
    );
}
