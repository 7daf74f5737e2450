//! Replay of the instances of a zone that fetch a large state after all processes were started.

use std::time::Duration;

use mustardhinge_core::membership::{QueryOutcome, SearchStep, StateSearch, TransferSources};
use mustardhinge_core::prelude::MonotonicTime;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of instances in the zone.
const INSTANCES: usize = 100;
/// Duration of a step, in milliseconds.
const STEP: u64 = 5;
/// Assumed size of the state, in bytes: a compressed list of 2,100 targets and a configuration.
const STATE_BYTES: f64 = 150_000.0;
/// Bandwidth of an instance's link, in bytes per step: 10 Mbit/s.
const LINK_BYTES: f64 = 1_250.0 * STEP as f64;
/// Number of responses that an instance sends concurrently.
const RESPONSES: usize = 2;
/// Time that a query waits for its turn, in milliseconds.
const PERMIT_WAIT: u64 = 100;
/// The instance that has the state at the beginning.
const RELAY: usize = 0;

struct ReplayQuery {
    requester: usize,
    arrived_at: u64,
    left: f64,
}

struct ReplayInstance {
    has_state: bool,
    is_alive: bool,
    search: StateSearch<usize>,
    /// The next query, and when it is sent.
    next: Option<(usize, u64)>,
    sources: TransferSources<u64, usize>,
    queries: Vec<ReplayQuery>,
}

struct ReplayZone {
    instances: Vec<ReplayInstance>,
    random: SmallRng,
    now: u64,
    leader_queries: usize,
    /// Whether a busy instance names its sources.
    refers: bool,
}

impl ReplayZone {
    fn new(seed: u64, refers: bool) -> Self {
        let instances = (0..INSTANCES).map(|index| ReplayInstance {
            has_state: index == RELAY,
            is_alive: true,
            search: StateSearch::new(RELAY, true, MonotonicTime::from_millis(0)),
            next: (index != RELAY).then_some((RELAY, index as u64 % 50)),
            sources: TransferSources::default(),
            queries: Vec::new(),
        });
        Self {
            instances: instances.collect(),
            random: SmallRng::seed_from_u64(seed),
            now: 0,
            leader_queries: 0,
            refers,
        }
    }

    fn served(&self) -> usize {
        let served = self.instances.iter().filter(|one| one.has_state);
        served.count()
    }

    fn run(&mut self, to: u64) {
        while self.now < to {
            for index in 0..INSTANCES {
                self.send_query(index);
            }
            for index in 0..INSTANCES {
                self.transfer(index);
            }
            self.now += STEP;
        }
    }

    fn send_query(&mut self, requester: usize) {
        let Some((source, at)) = self.instances[requester].next else {
            return;
        };
        if at > self.now {
            return;
        }
        self.instances[requester].next = None;
        if !self.instances[source].is_alive {
            return self.finish(requester, source, QueryOutcome::Unreachable);
        }
        if !self.instances[source].has_state {
            return self.finish(requester, source, QueryOutcome::NothingNew);
        }
        self.instances[source].queries.push(ReplayQuery {
            requester,
            arrived_at: self.now,
            left: STATE_BYTES,
        });
    }

    fn transfer(&mut self, source: usize) {
        let mut queries = std::mem::take(&mut self.instances[source].queries);
        let active = queries.len().min(RESPONSES);
        for query in queries.iter_mut().take(RESPONSES) {
            query.left -= LINK_BYTES / active as f64;
        }
        let mut index = 0;
        queries.retain(|query| {
            index += 1;
            let is_waiting = index > RESPONSES;
            if query.left <= 0.0 {
                self.instances[query.requester].has_state = true;
                self.instances[source].sources.record(1, query.requester);
                self.finish(query.requester, source, QueryOutcome::Adopted);
                false
            } else if is_waiting && self.now >= query.arrived_at + PERMIT_WAIT {
                let sources = &self.instances[source].sources;
                let sources = sources.sources_for(&1, query.requester);
                let sources = if self.refers { sources } else { Vec::new() };
                self.finish(query.requester, source, QueryOutcome::Busy(sources));
                false
            } else {
                true
            }
        });
        self.instances[source].queries.append(&mut queries);
    }

    fn finish(&mut self, requester: usize, source: usize, outcome: QueryOutcome<usize>) {
        let now = MonotonicTime::from_millis(self.now);
        let instance = &mut self.instances[requester];
        let step = instance
            .search
            .next_step(source, outcome, &mut self.random, now);
        match step {
            SearchStep::Query(next, delay) => {
                instance.next = Some((next, self.now + delay.as_millis() as u64));
            }
            SearchStep::QueryLeader => self.leader_queries += 1,
            SearchStep::Done => {}
        }
    }
}

/// All instances of a zone request the state from the relay at once. Guards against transfers that
/// wait for the relay's link alone: nine tenths have the state within 2 s.
#[test]
fn a_started_zone_has_the_state_within_two_seconds() {
    for seed in 0..20 {
        let mut zone = ReplayZone::new(seed, true);
        zone.run(2_000);
        let served = zone.served();
        assert!(served * 10 >= INSTANCES * 9, "seed {seed}: {served}");
        assert_eq!(zone.leader_queries, 0, "seed {seed}");
    }
}

/// The same without referrals, which shows that the replay depends on them.
#[test]
fn without_referrals_the_relay_is_the_bottleneck() {
    let mut zone = ReplayZone::new(0, false);
    zone.run(2_000);
    assert!(zone.served() * 2 < INSTANCES, "{}", zone.served());
}

/// Half of the sources end while the others fetch from them. Guards against requesters that give up
/// after they were referred to an instance that has ended.
#[test]
fn ended_sources_delay_the_others_only() {
    for seed in 0..20 {
        let mut zone = ReplayZone::new(seed, true);
        zone.run(800);
        for index in (1..INSTANCES).step_by(2) {
            let instance = &mut zone.instances[index];
            if instance.has_state {
                instance.is_alive = false;
                let waiting = std::mem::take(&mut instance.queries);
                for query in waiting {
                    zone.finish(query.requester, index, QueryOutcome::Unreachable);
                }
            }
        }
        zone.run(4_000);
        let served = zone.served();
        assert_eq!(served, INSTANCES, "seed {seed}");
    }
}

/// An instance that isn't the relay and has nothing newer leads to the leader at once. Guards
/// against a search that waits for an instance that can't help.
#[test]
fn a_fruitless_query_leads_to_the_leader() {
    let now = MonotonicTime::from_millis(1_000);
    let mut random = SmallRng::seed_from_u64(1);
    let mut search = StateSearch::new(5, false, now);
    let step = search.next_step(5, QueryOutcome::NothingNew, &mut random, now);
    assert_eq!(step, SearchStep::QueryLeader);
    let mut search = StateSearch::new(5, true, now);
    for _ in 0..3 {
        let step = search.next_step(5, QueryOutcome::NothingNew, &mut random, now);
        assert!(matches!(step, SearchStep::Query(5, _)), "{step:?}");
    }
    let step = search.next_step(5, QueryOutcome::NothingNew, &mut random, now);
    assert_eq!(step, SearchStep::QueryLeader);
}

/// A partition hides the relay, but not the leader, from some instances. Guards against searches
/// that repeat the connection until the configuration is overdue, and against a leader that sends
/// its state to all of them itself.
#[test]
fn an_unreachable_relay_leads_to_the_leader_and_its_sources() {
    let now = MonotonicTime::from_millis(1_000);
    let mut random = SmallRng::seed_from_u64(1);
    let mut search = StateSearch::new(5, true, now);
    let mut next = |search: &mut StateSearch<u32>, address, outcome| {
        search.next_step(address, outcome, &mut random, now)
    };
    let step = next(&mut search, 5, QueryOutcome::Unreachable);
    assert_eq!(step, SearchStep::QueryLeader);
    let step = search.continue_at_leader(9, now);
    assert_eq!(step, SearchStep::Query(9, Duration::ZERO));
    let step = next(&mut search, 9, QueryOutcome::Busy(vec![7]));
    assert_eq!(step, SearchStep::Query(7, Duration::ZERO));
    let step = next(&mut search, 7, QueryOutcome::Unreachable);
    assert!(matches!(step, SearchStep::Query(9, _)), "{step:?}");
    let step = next(&mut search, 9, QueryOutcome::Unreachable);
    assert_eq!(step, SearchStep::Done, "the next grant begins a new search");
}

/// A relay that stays busy without sources doesn't hold a requester forever.
#[test]
fn a_search_ends_at_the_leader_if_the_relay_stays_busy() {
    let begin = MonotonicTime::from_millis(0);
    let mut random = SmallRng::seed_from_u64(1);
    let mut search = StateSearch::new(5, true, begin);
    let mut now = begin;
    for _ in 0..100 {
        match search.next_step(5, QueryOutcome::Busy(Vec::new()), &mut random, now) {
            SearchStep::Query(5, delay) => now = now + delay,
            step => {
                assert_eq!(step, SearchStep::QueryLeader);
                assert!(now.saturating_since(begin) < Duration::from_secs(9));
                return;
            }
        }
    }
    panic!("the search doesn't end");
}

/// A new state removes the sources of the earlier one, and a requester isn't referred to itself.
#[test]
fn sources_belong_to_one_state() {
    let mut sources = TransferSources::default();
    sources.record(1, "a");
    sources.record(1, "b");
    sources.record(1, "a");
    assert_eq!(sources.sources_for(&1, "x"), ["a", "b"]);
    assert_eq!(sources.sources_for(&1, "a"), ["b"]);
    sources.record(2, "c");
    assert!(sources.sources_for(&1, "x").is_empty());
    assert_eq!(sources.sources_for(&2, "x"), ["c"]);
}
