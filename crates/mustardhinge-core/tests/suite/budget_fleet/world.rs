//! The run itself: global time, messages, faults.

use std::collections::BTreeMap;

use mustardhinge_core::budget::lease::HolderId;
use mustardhinge_core::budget::{BudgetAnswer, BudgetAsk, BudgetLimit, ClientId, LedgerError};
use mustardhinge_core::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::agent::Agent;
use super::entry::Entry;
use super::event::{AccountId, Event, ProcessStart, StoreCall};
use super::history::{AdmissionHistory, PlainLimit};
use super::object_store::ObjectStore;
use super::plan::WorldPlan;

const MILLI: u64 = 1_000;
/// Time between two looks of an agent at its lease.
const AGENT_PERIOD: u64 = 100 * MILLI;
/// Time between two looks of an entry at its allowances.
const ENTRY_PERIOD: u64 = 20 * MILLI;
/// How long an entry waits for a ledger's answer.
const ASK_TIMEOUT: u64 = 100 * MILLI;

pub(super) struct World {
    pub(super) histories: Vec<AdmissionHistory>,
    pub(super) store: ObjectStore,
    /// Messages to ledgers in all.
    pub(super) asks: u64,
    /// When every agent had adopted a revision of the limits: time, revision.
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
    cut_zone: Option<usize>,
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
            asks: 0,
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
            cut_zone: None,
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
        self.schedule_fault(0, faults.death_ms, Event::Death);
        self.schedule_fault(0, faults.outage_ms, Event::OutageStart);
        self.schedule_fault(0, faults.change_ms, Event::Change);
        self.schedule_fault(0, faults.cut_ms, Event::CutStart);
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
            self.plan.planted,
        );
        agent.offset = self.random.random_range(0..3_600 * 1_000 * MILLI);
        agent.adopted = self.revision;
        let limits = self.core_limits(self.revision);
        agent
            .ledger_mut()
            .set_limits(limits, MonotonicTime::default());
        agent
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
        entry.offset = self.random.random_range(0..3_600 * 1_000 * MILLI);
        entry
    }

    fn schedule_ticks(&mut self, time: u64, index: usize) {
        let agent = self.agent_start(index);
        self.schedule(time, Event::AgentTick(agent));
        let entry = self.entry_start(index);
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

    fn schedule_fault(&mut self, time: u64, mean_ms: u64, event: Event) {
        if mean_ms > 0 {
            let wait = self.random.random_range(1..2 * mean_ms * MILLI);
            self.schedule(time + wait, event);
        }
    }

    fn agent_start(&self, index: usize) -> ProcessStart {
        let incarnation = self.agents[index].incarnation;
        ProcessStart { index, incarnation }
    }

    fn entry_start(&self, index: usize) -> ProcessStart {
        let incarnation = self.entries[index].incarnation;
        ProcessStart { index, incarnation }
    }

    /// Returns when a message arrives, once or more often or never.
    fn arrivals(&mut self, time: u64, from: Option<usize>, to: Option<usize>) -> Vec<u64> {
        let is_cut = from != to
            && self
                .cut_zone
                .is_some_and(|cut| from == Some(cut) || to == Some(cut));
        let faults = self.plan.faults;
        if is_cut || self.random.random_range(0..1_000) < faults.loss {
            return Vec::new();
        }
        let (near, far) = self.plan.delays;
        let base = if from == to { near } else { far };
        let copies = 1 + u32::from(self.random.random_range(0..1_000) < faults.duplication);
        let mut arrivals = Vec::new();
        for _ in 0..copies {
            let is_late = self.random.random_range(0..1_000) < faults.delay;
            let late = if is_late {
                self.random.random_range(0..2_000 * MILLI)
            } else {
                0
            };
            arrivals.push(time + base + self.random.random_range(0..base / 4) + late);
        }
        arrivals
    }

    fn handle(&mut self, time: u64, event: Event) {
        if let Some(later) = self.paused_until(time, &event) {
            self.schedule(later, event);
            return;
        }
        match event {
            Event::AgentTick(start) => self.on_agent_tick(time, start),
            Event::StoreCall(start, call) => self.on_store_call(time, start, call),
            Event::StoreAnswer(start, answer) => {
                if self.is_agent(start) {
                    let now = self.agent_clock(start.index, time);
                    self.agents[start.index].on_store(answer, now);
                }
            }
            Event::Request { entry, customer } => self.on_request(time, entry, customer),
            Event::EntryTick { entry, customer } => self.on_entry_tick(time, entry, customer),
            Event::Ask {
                account,
                agent,
                ask,
            } => self.on_ask(time, account, agent, &ask),
            Event::Answer {
                account,
                sequence,
                result,
            } => self.on_answer(time, account, sequence, result),
            Event::AskTimeout { account, sequence } => {
                self.on_answer(time, account, sequence, Err(LedgerError::NotHolder));
            }
            Event::Adopt { agent, revision } => self.on_adopt(time, agent, revision),
            fault => self.on_fault(time, &fault),
        }
    }

    fn on_fault(&mut self, time: u64, fault: &Event) {
        match *fault {
            Event::Pause => {
                self.pause_one(time);
                self.schedule_fault(time, self.plan.faults.pause_ms, Event::Pause);
            }
            Event::Death => {
                let index = self.random.random_range(0..self.entries.len());
                let kill = if self.random.random_bool(0.5) {
                    Event::KillAgent(index)
                } else {
                    Event::KillEntry(index)
                };
                self.on_fault(time, &kill);
                self.schedule_fault(time, self.plan.faults.death_ms, Event::Death);
            }
            Event::KillAgent(index) => {
                self.agents[index] = self.make_agent(index);
                let start = self.agent_start(index);
                self.schedule(time, Event::AgentTick(start));
                self.note_settled(time);
            }
            Event::KillEntry(index) => self.kill_entry(time, index),
            Event::Leave => {
                let index = self.random.random_range(0..self.agents.len());
                self.schedule(time, Event::LeaveAgent(index));
                self.schedule(time + 3_000 * MILLI, Event::KillAgent(index));
                self.schedule_fault(time, self.plan.faults.leave_ms, Event::Leave);
            }
            Event::LeaveAgent(index) => self.agents[index].leave(),
            Event::OutageStart => {
                self.store.is_up = false;
                let outage = self.random.random_range(0..8_000 * MILLI);
                self.schedule(time + outage, Event::StoreUp(true));
                self.schedule_fault(
                    time + outage,
                    self.plan.faults.outage_ms,
                    Event::OutageStart,
                );
            }
            Event::CutStart => {
                let zone = self.random.random_range(0..self.plan.zones);
                let length = self.random.random_range(0..6_000 * MILLI);
                self.cut_zone = Some(zone);
                self.schedule(time + length, Event::CutZone(None));
                self.schedule_fault(time + length, self.plan.faults.cut_ms, Event::CutStart);
            }
            Event::StoreUp(is_up) => self.store.is_up = is_up,
            Event::CutZone(zone) => self.cut_zone = zone,
            Event::Change => self.change_limits(time),
            _ => {}
        }
    }

    fn kill_entry(&mut self, time: u64, index: usize) {
        self.entries[index] = self.make_entry(index);
        let entry = self.entry_start(index);
        for customer in 0..self.histories.len() {
            self.schedule(time, Event::EntryTick { entry, customer });
        }
    }

    fn pause_one(&mut self, time: u64) {
        let index = self.random.random_range(0..self.entries.len());
        let length = self.random.random_range(0..4_000 * MILLI);
        if self.random.random_bool(0.5) {
            self.agents[index].paused_until = time + length;
            self.agents[index].frozen += length;
        } else {
            self.entries[index].paused_until = time + length;
        }
    }

    fn change_limits(&mut self, time: u64) {
        if self.revision + 1 < self.plan.limits.len() {
            self.revision += 1;
            self.changed.push(time);
            for index in 0..self.agents.len() {
                let agent = self.agent_start(index);
                let delay = self.random.random_range(0..1_500 * MILLI);
                let revision = self.revision;
                self.schedule(time + delay, Event::Adopt { agent, revision });
            }
        }
        self.schedule_fault(time, self.plan.faults.change_ms, Event::Change);
    }

    fn on_adopt(&mut self, time: u64, start: ProcessStart, revision: usize) {
        let now = self.agent_clock(start.index, time);
        let limits = self.core_limits(revision);
        let agent = &mut self.agents[start.index];
        if agent.incarnation == start.incarnation && agent.adopted < revision {
            agent.adopted = revision;
            agent.ledger_mut().set_limits(limits, now);
            self.note_settled(time);
        }
    }

    fn note_settled(&mut self, time: u64) {
        let is_settled = self
            .agents
            .iter()
            .all(|agent| agent.adopted == self.revision);
        let is_new = self
            .settled
            .last()
            .is_none_or(|(_, revision)| *revision != self.revision);
        if is_settled && is_new {
            self.settled.push((time, self.revision));
        }
    }

    /// Returns until when the process that an event is for does nothing.
    fn paused_until(&self, time: u64, event: &Event) -> Option<u64> {
        let until = match event {
            Event::AgentTick(start)
            | Event::StoreAnswer(start, _)
            | Event::Adopt { agent: start, .. } => self.agents[start.index].paused_until,
            Event::Ask { agent, .. } => self.agents[*agent].paused_until,
            Event::Request { entry, .. } => self.entries[*entry].paused_until,
            Event::EntryTick { entry, .. } => self.entries[entry.index].paused_until,
            Event::Answer { account, .. } | Event::AskTimeout { account, .. } => {
                self.entries[account.entry.index].paused_until
            }
            _ => 0,
        };
        (until > time).then_some(until)
    }

    fn is_agent(&self, start: ProcessStart) -> bool {
        self.agents[start.index].incarnation == start.incarnation
    }

    fn is_entry(&self, start: ProcessStart) -> bool {
        self.entries[start.index].incarnation == start.incarnation
    }

    fn agent_clock(&self, index: usize, time: u64) -> MonotonicTime {
        MonotonicTime::from_micros(time + self.agents[index].offset)
    }

    fn on_agent_tick(&mut self, time: u64, start: ProcessStart) {
        if !self.is_agent(start) {
            return;
        }
        self.check_leases(time);
        let now = self.agent_clock(start.index, time);
        let rank = u32::try_from(start.index / self.plan.zones).unwrap();
        let zone = self.agents[start.index].zone;
        for call in self.agents[start.index].tick(rank, now) {
            for arrival in self.arrivals(time, Some(zone), None) {
                self.schedule(arrival, Event::StoreCall(start, call.clone()));
            }
        }
        self.schedule(time + AGENT_PERIOD, Event::AgentTick(start));
    }

    /// Notes whether two agents of a zone hold the same part of its share.
    fn check_leases(&mut self, time: u64) {
        let standings = (0..self.agents.len()).filter_map(|index| {
            let now = self.agent_clock(index, time);
            let agent = &self.agents[index];
            Some((agent.zone, now, agent.standing(now)?))
        });
        let standings: Vec<_> = standings.collect();
        for zone in 0..self.plan.zones {
            let of_zone = standings.iter().filter(|(other, ..)| *other == zone);
            let flexible = of_zone
                .clone()
                .filter(|(_, now, s)| *now < s.flexible_until);
            let floor = of_zone.filter(|(_, now, s)| s.floor_until.is_some_and(|end| *now < end));
            if flexible.count() > 1 || floor.count() > 1 {
                self.overlap = self.overlap.or(Some(time));
            }
        }
    }

    fn on_store_call(&mut self, time: u64, start: ProcessStart, call: StoreCall) {
        if !self.store.is_up {
            return;
        }
        let zone = self.agents[start.index].zone;
        let answer = self.store.carry_out(zone, call);
        for arrival in self.arrivals(time, None, Some(zone)) {
            self.schedule(arrival, Event::StoreAnswer(start, answer.clone()));
        }
    }

    fn on_request(&mut self, time: u64, entry: usize, customer: usize) {
        self.entries[entry].on_request(customer, time, &mut self.histories[customer]);
        self.pump(time, entry, customer);
    }

    fn on_entry_tick(&mut self, time: u64, start: ProcessStart, customer: usize) {
        if !self.is_entry(start) {
            return;
        }
        self.pump(time, start.index, customer);
        let entry = start;
        self.schedule(time + ENTRY_PERIOD, Event::EntryTick { entry, customer });
    }

    /// Serves what waits, and sends the next message to a ledger.
    fn pump(&mut self, time: u64, index: usize, customer: usize) {
        let history = &mut self.histories[customer];
        self.entries[index].retry_waiting(customer, time, history);
        let Some((zone, ask)) = self.entries[index].wants(customer, time) else {
            return;
        };
        let account = AccountId {
            entry: self.entry_start(index),
            customer,
            zone: self.zones.iter().position(|other| *other == zone).unwrap(),
        };
        let sequence = ask.sequence;
        self.schedule(time + ASK_TIMEOUT, Event::AskTimeout { account, sequence });
        self.send_ask(time, account, &ask);
    }

    fn send_ask(&mut self, time: u64, account: AccountId, ask: &BudgetAsk) {
        self.asks += 1;
        let Some(agent) = self.choose_agent(account.zone) else {
            return;
        };
        let own_zone = self.entries[account.entry.index].zone;
        for arrival in self.arrivals(time, Some(own_zone), Some(account.zone)) {
            let ask = ask.clone();
            self.schedule(
                arrival,
                Event::Ask {
                    account,
                    agent,
                    ask,
                },
            );
        }
    }

    fn choose_agent(&mut self, zone: usize) -> Option<usize> {
        if self.plan.faults.wrong_members && self.random.random_bool(0.3) {
            let ranks = self.agents.len() / self.plan.zones;
            return Some(zone + self.plan.zones * self.random.random_range(0..ranks));
        }
        let holder = self.store.holder(zone)?;
        (0..self.agents.len()).find(|index| instance_id(*index) == *holder)
    }

    fn on_ask(&mut self, time: u64, account: AccountId, agent: usize, ask: &BudgetAsk) {
        let now = self.agent_clock(agent, time);
        let zone = self.agents[agent].zone;
        let sequence = ask.sequence;
        let customer = customer_id(account.customer);
        let result = self.agents[agent].answer(&customer, ask, now);
        let to = self.entries[account.entry.index].zone;
        for arrival in self.arrivals(time, Some(zone), Some(to)) {
            let event = Event::Answer {
                account,
                sequence,
                result,
            };
            self.schedule(arrival, event);
        }
    }

    fn on_answer(
        &mut self,
        time: u64,
        account: AccountId,
        sequence: u64,
        result: Result<BudgetAnswer, LedgerError>,
    ) {
        if !self.is_entry(account.entry) {
            return;
        }
        let AccountId {
            entry,
            customer,
            zone,
        } = account;
        let name = self.zones[zone].clone();
        match result {
            Ok(answer) => self.entries[entry.index].on_answer(customer, &name, &answer, time),
            Err(_) => self.entries[entry.index].on_failure(customer, &name, sequence, time),
        }
        self.pump(time, entry.index, customer);
    }
}

fn instance_id(index: usize) -> InstanceId {
    format!("i-{index}").parse().unwrap()
}

fn customer_id(index: usize) -> CustomerId {
    format!("c-{index}").parse().unwrap()
}
