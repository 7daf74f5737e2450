//! Three targets of one zone with a gateway each, and instances that send reads to them: a small
//! model of slots and faults, with the queue, the estimates and the choice that instances use.

use std::time::Duration;

use mustardhinge_core::overload::{FailureTable, ObservedCapacity, ReductionLimits};
use mustardhinge_core::placement::{
    LatencyEstimate, PlacementCandidate, SpreadCandidate, SpreadLimits, SpreadPlacement, TargetLoad,
};
use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{
    CostEstimates, CustomerWeight, PopOutcome, PriorityItem, PriorityQueue, PushOutcome,
    QueueLimits, SlotWindow, WaitLimits, WorkKind,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const TARGETS: usize = 3;
const SLOTS: usize = 5;
const SERVICE_MS: u64 = 24;
const INSTANCES: usize = 7;
const CUSTOMERS: usize = 20;
const OBJECTIVE_MS: u64 = 400;
const WORK: (RoutePriority, WorkKind) = (RoutePriority::HIGHEST, WorkKind::Read);

/// What is wrong with a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fault {
    pub slow_factor: u64,
    /// Statements that it runs before it sheds others.
    pub limit: usize,
    pub fails: f64,
}

pub(super) const SOUND: Fault = Fault {
    slow_factor: 1,
    limit: usize::MAX,
    fails: 0.0,
};

/// What differs between the replays.
#[derive(Clone, Copy)]
pub(super) struct CapacityCase {
    /// Load, as a part of the listed capacity of the targets.
    pub load: f64,
    pub fault: fn(usize, u64) -> Fault,
    /// Whether the statements of the first customer fail everywhere.
    pub has_bad_customer: bool,
}

/// What came of the reads that arrived in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SecondFigures {
    pub came: usize,
    pub in_time: usize,
    pub sent: [usize; TARGETS],
    pub shed: usize,
    pub reduced: usize,
}

#[derive(Clone, Debug)]
struct Read {
    instance: usize,
    customer: usize,
    came: u64,
    sent: u64,
    tried: Vec<usize>,
}

struct Instance {
    loads: [TargetLoad; TARGETS],
    reports: [(Duration, usize); TARGETS],
    failures: FailureTable,
}

struct Target {
    queue: PriorityQueue<Read>,
    costs: CostEstimates,
    window: SlotWindow,
    latency: LatencyEstimate,
    capacity: ObservedCapacity,
    running: Vec<(u64, Read)>,
    /// When each slot is free; what is sent beyond them waits at the target.
    slots_free: [u64; SLOTS],
}

impl Target {
    fn limit(&self, now: MonotonicTime) -> usize {
        let slots = self.capacity.slots(now);
        if slots < SLOTS {
            slots.min(self.window.size())
        } else {
            self.window.size()
        }
    }
}

pub(super) struct CapacityModel {
    case: CapacityCase,
    instances: Vec<Instance>,
    targets: Vec<Target>,
    customers: Vec<CustomerId>,
    service: ServiceId,
    names: [TargetId; TARGETS],
    zone: ZoneId,
    rng: SmallRng,
    seconds: Vec<SecondFigures>,
}

impl CapacityModel {
    /// Replays a case for `length` seconds and returns its figures by second.
    pub(super) fn replay(case: CapacityCase, length: usize, seed: u64) -> Vec<SecondFigures> {
        let mut model = Self::new(case, length, seed);
        for now in 0..length as u64 * 1_000 {
            model.step(now);
        }
        model.seconds
    }

    fn new(case: CapacityCase, length: usize, seed: u64) -> Self {
        let instance = || Instance {
            loads: Default::default(),
            reports: [(Duration::from_millis(SERVICE_MS), SLOTS); TARGETS],
            failures: FailureTable::default(),
        };
        let target = || Target {
            queue: PriorityQueue::new(QueueLimits::new().slots(SLOTS as u32)),
            costs: CostEstimates::default(),
            window: SlotWindow::new(SLOTS),
            latency: LatencyEstimate::default(),
            capacity: ObservedCapacity::new(SLOTS),
            running: Vec::new(),
            slots_free: [0; SLOTS],
        };
        let customers = (0..CUSTOMERS).map(|index| format!("c{index}").parse().unwrap());
        Self {
            case,
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            targets: (0..TARGETS).map(|_| target()).collect(),
            customers: customers.collect(),
            service: "orders".parse().unwrap(),
            names: [0, 1, 2].map(|index| format!("s-{index}").parse().unwrap()),
            zone: "north".parse().unwrap(),
            rng: SmallRng::seed_from_u64(seed),
            seconds: vec![SecondFigures::default(); length],
        }
    }

    fn step(&mut self, now: u64) {
        let rate = self.case.load * (TARGETS * SLOTS) as f64 / SERVICE_MS as f64;
        let count = rate.floor() as usize + usize::from(self.rng.random_bool(rate.fract()));
        for _ in 0..count {
            let read = Read {
                instance: self.rng.random_range(0..INSTANCES),
                customer: self.rng.random_range(0..CUSTOMERS),
                came: now,
                sent: now,
                tried: Vec::new(),
            };
            self.second(now).came += 1;
            self.place(read, now);
        }
        for target in 0..TARGETS {
            let running = std::mem::take(&mut self.targets[target].running);
            let (done, running): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.0 <= now);
            let in_flight = running.len() + done.len();
            self.targets[target].running = running;
            for (index, (_, read)) in done.into_iter().enumerate() {
                self.complete(target, &read, in_flight - index, now);
            }
            self.start_waiting(target, now);
        }
    }

    fn candidates(&self, read: &Read, now: u64) -> [SpreadCandidate; TARGETS] {
        let state = &self.instances[read.instance];
        [0, 1, 2].map(|index| {
            let (latency, slots) = state.reports[index];
            let at = MonotonicTime::from_millis(now);
            let load = state.loads[index].estimate(slots, latency, at);
            let target = PlacementCandidate {
                is_primary: false,
                is_same_zone: true,
                is_leaving: false,
                is_failing: false,
                lacks_position: false,
                is_too_stale: false,
                in_flight: load.statements,
                slots,
                typical_latency: latency,
                has_connection: true,
            };
            SpreadCandidate {
                target,
                age: load.age,
                is_silent: load.is_silent,
            }
        })
    }

    /// Sends a read to a target that admits it, unless none does.
    fn place(&mut self, mut read: Read, now: u64) {
        let at = MonotonicTime::from_millis(now);
        let wait = Duration::from_millis((read.came + OBJECTIVE_MS).saturating_sub(now));
        let limits = SpreadLimits {
            max_wait: wait,
            senders: INSTANCES,
        };
        loop {
            let candidates = self.candidates(&read, now);
            let failures = &self.instances[read.instance].failures;
            let share = |index: usize| failures.share((&self.service, &self.names[index]), at);
            let rng = &mut self.rng;
            let chosen =
                SpreadPlacement::choose_with_shares(&candidates, limits, &read.tried, share, rng);
            let Some(index) = chosen.map(|choice| choice.index) else {
                return;
            };
            read.tried.push(index);
            read.sent = now;
            let instance = read.instance;
            self.instances[instance].loads[index].record_sent(at);
            let target = &mut self.targets[index];
            let cost = target.costs.cost_of(WORK.0, WORK.1);
            let limits = WaitLimits::new(wait, cost, at);
            let item = PriorityItem {
                customer: self.customers[read.customer].clone(),
                weight: CustomerWeight::LOWEST,
                priority: WORK.0,
                admit_by: limits.admit_by,
                deadline: limits.deadline,
                cost,
                item: read.clone(),
            };
            self.second(now).sent[index] += 1;
            if let PushOutcome::Queued { .. } = self.targets[index].queue.push(item, at) {
                return;
            }
            self.report(index, instance, now);
        }
    }

    fn start_waiting(&mut self, index: usize, now: u64) {
        let at = MonotonicTime::from_millis(now);
        let fault = (self.case.fault)(index, now);
        loop {
            let target = &mut self.targets[index];
            if target.running.len() >= target.limit(at) {
                return;
            }
            match target.queue.pop(at) {
                Some(PopOutcome::Ready(ready)) if target.running.len() < fault.limit => {
                    let service = self.rng.random_range(SERVICE_MS / 2..=SERVICE_MS * 3 / 2);
                    let mut read = ready.item;
                    read.sent = now;
                    let free = target.slots_free.iter_mut().min().unwrap();
                    *free = now.max(*free) + service * fault.slow_factor;
                    target.running.push((*free, read));
                }
                Some(PopOutcome::Ready(ready)) => {
                    let in_flight = target.running.len() + 1;
                    target.capacity.record_shed(in_flight, at);
                    target.window.record_refusal(target.latency.typical(at), at);
                    target.queue.set_slots(target.limit(at) as u32);
                    self.report(index, ready.item.instance, now);
                    self.second(now).shed += 1;
                    self.place(ready.item, now);
                }
                Some(PopOutcome::Expired(refusal)) => {
                    self.report(index, refusal.refused.item.instance, now);
                }
                None => return,
            }
        }
    }

    fn complete(&mut self, index: usize, read: &Read, in_flight: usize, now: u64) {
        let at = MonotonicTime::from_millis(now);
        let elapsed = Duration::from_millis(now - read.sent);
        let target = &mut self.targets[index];
        target.latency.record(elapsed, at);
        target.costs.record(WORK.0, WORK.1, elapsed);
        let slow_after = Duration::from_millis(OBJECTIVE_MS / 3);
        target
            .window
            .record_response((elapsed, slow_after), in_flight, at);
        target.capacity.record_completed(at);
        target.queue.set_slots(target.limit(at) as u32);
        self.report(index, read.instance, now);
        let is_bad = self.case.has_bad_customer && read.customer == 0;
        let fails = is_bad || self.rng.random_bool((self.case.fault)(index, now).fails);
        let (place, zone) = ((&self.service, &self.names[index]), &self.zone);
        let customer = &self.customers[read.customer];
        let failures = &mut self.instances[read.instance].failures;
        if fails {
            let limits = || ReductionLimits {
                zone_targets: TARGETS,
                group_targets: TARGETS,
            };
            let is_reduced = failures.record_failed(place, zone, (customer, limits), at);
            self.second(now).reduced += usize::from(is_reduced);
            return;
        }
        failures.record_served(place, zone, customer, at);
        if now - read.came <= OBJECTIVE_MS {
            self.second(read.came).in_time += 1;
        }
    }

    /// Ends a statement of an instance with a report of the target's gateway.
    fn report(&mut self, index: usize, instance: usize, now: u64) {
        let at = MonotonicTime::from_millis(now);
        let target = &self.targets[index];
        let load = target.queue.len() + target.running.len();
        let state = &mut self.instances[instance];
        state.loads[index].record_ended();
        state.loads[index].record_report(load, at);
        state.reports[index] = (target.latency.typical(at), target.capacity.slots(at));
    }

    fn second(&mut self, now: u64) -> &mut SecondFigures {
        &mut self.seconds[(now / 1_000) as usize]
    }
}
