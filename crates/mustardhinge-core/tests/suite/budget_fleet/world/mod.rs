//! The discrete-event simulation of a run.

mod agent_events;
mod entry_events;
mod fault_events;

use std::collections::BTreeMap;

use mustardhinge_core::budget::lease::HolderId;
use mustardhinge_core::budget::{BudgetLimit, ClientId, LedgerError};
use mustardhinge_core::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::agent::Agent;
use super::entry::Entry;
use super::event::{Event, ProcessIncarnation};
use super::history::{AdmissionHistory, PlainLimit};
use super::object_store::ObjectStore;
use super::plan::WorldPlan;
use super::skewed_clock::SkewedClock;

const MILLI: u64 = 1_000;
/// The interval between two ticks of an agent.
const AGENT_PERIOD: u64 = 100 * MILLI;
/// The interval between two ticks of an entry.
const ENTRY_PERIOD: u64 = 20 * MILLI;
/// How long an entry waits for the response of a ledger.
const LEDGER_REQUEST_TIMEOUT: u64 = 100 * MILLI;

pub(super) struct World {
    pub(super) histories: Vec<AdmissionHistory>,
    pub(super) store: ObjectStore,
    /// The total number of requests to ledgers.
    pub(super) ledger_requests: u64,
    /// When all agents had adopted a revision of the limits: time, revision.
    pub(super) settled: Vec<(u64, usize)>,
    /// When two agents first held the same part of a share.
    pub(super) overlap: Option<u64>,
    /// When the limits changed.
    pub(super) changed: Vec<u64>,
    plan: WorldPlan,
    random: StdRng,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_incarnation: u64,
    agents: Vec<Agent>,
    entries: Vec<Entry>,
    zones: Vec<ZoneId>,
    partitioned_zone: Option<usize>,
    revision: usize,
}

impl World {
    pub(super) fn run(plan: WorldPlan) -> Self {
        let mut world = Self::new(plan);
        world.start();
        while let Some(((time, _), event)) = world.events.pop_first() {
            if time >= world.plan.length {
                break;
            }
            world.handle(time, event);
        }
        world
    }

    fn new(plan: WorldPlan) -> Self {
        let zones: Vec<ZoneId> = (0..plan.zones)
            .map(|zone| format!("z{zone}").parse().unwrap())
            .collect();
        Self {
            histories: vec![AdmissionHistory::default(); plan.limits[0].len()],
            store: ObjectStore::new(plan.zones),
            ledger_requests: 0,
            settled: Vec::new(),
            changed: Vec::new(),
            overlap: None,
            random: StdRng::seed_from_u64(plan.seed),
            events: BTreeMap::new(),
            next_event: 0,
            next_incarnation: 1,
            agents: Vec::new(),
            entries: Vec::new(),
            zones,
            partitioned_zone: None,
            revision: 0,
            plan,
        }
    }

    fn start(&mut self) {
        for index in 0..self.plan.entries {
            let agent = self.make_agent(index);
            self.agents.push(agent);
            let entry = self.make_entry(index);
            self.entries.push(entry);
            self.schedule_ticks(0, index);
        }
        self.settled.push((0, 0));
        for (time, entry, customer) in std::mem::take(&mut self.plan.requests) {
            self.schedule(time, Event::Request { entry, customer });
        }
        for (time, event) in std::mem::take(&mut self.plan.script) {
            self.schedule(time, event);
        }
        let faults = self.plan.faults;
        self.schedule_fault(0, faults.pause_ms, Event::Pause);
        self.schedule_fault(0, faults.crash_ms, Event::Crash);
        self.schedule_fault(0, faults.outage_ms, Event::OutageStart);
        self.schedule_fault(0, faults.change_ms, Event::Change);
        self.schedule_fault(0, faults.partition_ms, Event::PartitionStart);
        self.schedule_fault(0, faults.leave_ms, Event::Leave);
    }

    fn make_agent(&mut self, index: usize) -> Agent {
        let instance = instance_id(index);
        let incarnation = self.take_incarnation();
        let holder = HolderId {
            instance,
            incarnation,
        };
        let zone = index % self.plan.zones;
        let mut agent = Agent::new(
            zone,
            holder,
            self.zones.clone(),
            self.plan.terms,
            self.plan.injected,
        );
        agent.clock = self.make_clock();
        agent.adopted = self.revision;
        let limits = self.core_limits(self.revision);
        agent
            .ledger_mut()
            .set_limits(limits, MonotonicTime::default());
        agent
    }

    fn make_clock(&mut self) -> SkewedClock {
        let skew = self.plan.faults.skew;
        let offset = self.random.random_range(0..3_600 * 1_000 * MILLI);
        let speed = if skew > 0 {
            self.random.random_range(1_000 - skew..=1_000 + skew)
        } else {
            1_000
        };
        SkewedClock { offset, speed }
    }

    fn make_entry(&mut self, index: usize) -> Entry {
        let incarnation = self.take_incarnation();
        let client = ClientId {
            instance: instance_id(index),
            incarnation,
        };
        let zone = index % self.plan.zones;
        let customers = self.histories.len();
        let mut entry = Entry::new(zone, &client, &self.zones, customers);
        entry.clock = self.make_clock();
        entry
    }

    fn schedule_ticks(&mut self, time: u64, index: usize) {
        let agent = self.agent_incarnation(index);
        self.schedule(time, Event::AgentTick(agent));
        let entry = self.entry_incarnation(index);
        for customer in 0..self.histories.len() {
            self.schedule(time, Event::EntryTick { entry, customer });
        }
    }

    fn take_incarnation(&mut self) -> u64 {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    fn core_limits(&self, revision: usize) -> Vec<(CustomerId, BudgetLimit)> {
        let limits = &self.plan.limits[revision];
        let limit = |(index, limit): (usize, &PlainLimit)| {
            let rate = RequestRate::from_millis(limit.rate * 1_000);
            let burst = RequestBurst::from_millis(limit.burst * 1_000);
            (customer_id(index), BudgetLimit::new(rate, burst))
        };
        limits.iter().enumerate().map(limit).collect()
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((time, self.next_event), event);
    }

    fn agent_incarnation(&self, index: usize) -> ProcessIncarnation {
        let incarnation = self.agents[index].incarnation;
        ProcessIncarnation { index, incarnation }
    }

    fn entry_incarnation(&self, index: usize) -> ProcessIncarnation {
        let incarnation = self.entries[index].incarnation;
        ProcessIncarnation { index, incarnation }
    }

    fn handle(&mut self, time: u64, event: Event) {
        if let Some(later) = self.paused_until(time, &event) {
            self.schedule(later, event);
            return;
        }
        match event {
            Event::AgentTick(process) => self.on_agent_tick(time, process),
            Event::StoreCall(process, call) => self.on_store_call(time, process, call),
            Event::StoreResponse(process, response) => {
                if self.is_agent(process) {
                    let now = self.agent_clock(process.index, time);
                    self.agents[process.index].on_store(response, now);
                }
            }
            Event::Request { entry, customer } => self.on_request(time, entry, customer),
            Event::EntryTick { entry, customer } => self.on_entry_tick(time, entry, customer),
            Event::LedgerRequest {
                account,
                agent,
                request,
            } => self.on_ledger_request(time, account, agent, &request),
            Event::LedgerResponse {
                account,
                sequence,
                result,
            } => self.on_response(time, account, sequence, result),
            Event::LedgerRequestTimeout { account, sequence } => {
                self.on_response(time, account, sequence, Err(LedgerError::NotHolder));
            }
            Event::Adopt { agent, revision } => self.on_adopt(time, agent, revision),
            fault => self.on_fault(time, &fault),
        }
    }
}

fn instance_id(index: usize) -> InstanceId {
    format!("i-{index}").parse().unwrap()
}

fn customer_id(index: usize) -> CustomerId {
    format!("c-{index}").parse().unwrap()
}
