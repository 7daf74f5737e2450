//! Instances that send reads to one group of targets: a small model of slots, queues, reports and
//! faults, with the same decisions that instances make.

use std::collections::VecDeque;
use std::time::Duration;

use mustardhinge_core::placement::{
    PlacementCandidate, SpreadCandidate, SpreadLimits, SpreadPlacement, TargetLoad,
};
use mustardhinge_core::prelude::MonotonicTime;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub(super) const TARGETS: usize = 3;
pub(super) const SLOTS: usize = 5;
pub(super) const SERVICE_MS: u64 = 24;
pub(super) const END_MS: u64 = 12_000;
const OBJECTIVE_MS: u64 = 400;
/// After this time without a response, an instance ends a read and marks the target as failing.
const TIMEOUT_MS: u64 = 450;
/// How long a target counts as failing before a probe.
const PROBE_MS: u64 = 400;

/// What differs between the replays.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetCase {
    pub instances: usize,
    /// The number of instances that each instance knows of.
    pub known_instances: usize,
    /// Load, as a part of the capacity of the targets.
    pub load: f64,
    /// Changes the report of a target: true load and time to reported load, or none if lost.
    pub report: fn(usize, u64) -> Option<usize>,
    /// Delay of a report after its response, in milliseconds.
    pub report_delay: u64,
    /// Whether an instance reaches a target at a time.
    pub reaches: fn(usize, usize, u64) -> bool,
    /// Whether a target runs statements at a time.
    pub runs: fn(usize, u64) -> bool,
    /// Whether the targets are in three zones, with the instances spread over them.
    pub has_zones: bool,
}

impl Default for FleetCase {
    fn default() -> Self {
        Self {
            instances: 76,
            known_instances: 76,
            load: 0.7,
            report: |load, _| Some(load),
            report_delay: 0,
            reaches: |_, _, _| true,
            runs: |_, _| true,
            has_zones: false,
        }
    }
}

/// What came of the reads that arrived in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SecondFigures {
    pub came: usize,
    pub in_time: usize,
    pub sent: [usize; TARGETS],
    pub max_queue: [usize; TARGETS],
}

#[derive(Clone, Copy)]
struct Sent {
    instance: usize,
    came: u64,
    sent: u64,
}

#[derive(Default)]
struct Instance {
    loads: [TargetLoad; TARGETS],
    failing_until: [u64; TARGETS],
}

#[derive(Default)]
struct Target {
    waiting: VecDeque<Sent>,
    running: Vec<(Sent, u64)>,
}

pub(super) struct FleetModel {
    case: FleetCase,
    instances: Vec<Instance>,
    targets: [Target; TARGETS],
    reports: VecDeque<(u64, usize, usize, usize)>,
    rng: SmallRng,
    pub seconds: Vec<SecondFigures>,
}

impl FleetModel {
    /// Replays a case and returns its figures by second.
    pub(super) fn replay(case: FleetCase, seed: u64) -> Vec<SecondFigures> {
        let mut model = Self {
            case,
            instances: (0..case.instances).map(|_| Instance::default()).collect(),
            targets: Default::default(),
            reports: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
            seconds: vec![SecondFigures::default(); (END_MS / 1_000) as usize],
        };
        for now in 0..END_MS {
            model.step(now);
        }
        model.seconds
    }

    fn step(&mut self, now: u64) {
        let rate = self.case.load * (TARGETS * SLOTS) as f64 / SERVICE_MS as f64;
        let count = rate.floor() as usize + usize::from(self.rng.random_bool(rate.fract()));
        for _ in 0..count {
            let instance = self.rng.random_range(0..self.case.instances);
            self.second(now).came += 1;
            self.place(instance, now, now);
        }
        for target in 0..TARGETS {
            self.end_overdue(target, now);
            if (self.case.runs)(target, now) {
                self.work(target, now);
            }
        }
        while self.reports.front().is_some_and(|(due, ..)| *due <= now) {
            if let Some((_, instance, target, load)) = self.reports.pop_front() {
                let at = MonotonicTime::from_millis(now);
                self.instances[instance].loads[target].record_report(load, at);
            }
        }
    }

    fn place(&mut self, instance: usize, came: u64, now: u64) {
        let at = MonotonicTime::from_millis(now);
        let limits = SpreadLimits {
            max_wait: Duration::from_millis(OBJECTIVE_MS.saturating_sub(now - came)),
            senders: self.case.known_instances,
        };
        let state = &self.instances[instance];
        let candidates = [0, 1, 2].map(|target| {
            let latency = Duration::from_millis(SERVICE_MS);
            let load = state.loads[target].estimate(SLOTS, latency, at);
            let target = PlacementCandidate {
                is_primary: false,
                is_same_zone: !self.case.has_zones || instance % TARGETS == target,
                is_leaving: false,
                is_failing: state.failing_until[target] > now,
                lacks_position: false,
                is_too_stale: false,
                in_flight: load.statements,
                slots: SLOTS,
                typical_latency: latency,
                has_connection: true,
            };
            SpreadCandidate {
                target,
                age: load.age,
                is_silent: load.is_silent,
            }
        });
        let choice = SpreadPlacement::choose(&candidates, limits, &[], &mut self.rng);
        let target = choice.unwrap().index;
        self.instances[instance].loads[target].record_sent(at);
        let sent = Sent {
            instance,
            came,
            sent: now,
        };
        self.targets[target].waiting.push_back(sent);
        let queue = self.targets[target].waiting.len();
        let second = self.second(now);
        second.sent[target] += 1;
        second.max_queue[target] = second.max_queue[target].max(queue);
    }

    /// Ends the reads of instances that got no response, and sends them elsewhere.
    fn end_overdue(&mut self, target: usize, now: u64) {
        let case = self.case;
        let is_overdue = |sent: &Sent| {
            let is_cut = !(case.reaches)(sent.instance, target, now);
            (is_cut || !(case.runs)(target, now)) && now - sent.sent >= TIMEOUT_MS
        };
        let waiting = std::mem::take(&mut self.targets[target].waiting);
        let (overdue, kept): (Vec<_>, Vec<_>) = waiting.into_iter().partition(is_overdue);
        self.targets[target].waiting = kept.into();
        for sent in overdue {
            let instance = &mut self.instances[sent.instance];
            instance.loads[target].record_ended();
            instance.failing_until[target] = now + PROBE_MS;
            self.place(sent.instance, sent.came, now);
        }
    }

    fn work(&mut self, target: usize, now: u64) {
        let running = std::mem::take(&mut self.targets[target].running);
        let (done, running): (Vec<_>, Vec<_>) = running.into_iter().partition(|run| run.1 <= now);
        self.targets[target].running = running;
        while self.targets[target].running.len() < SLOTS {
            let waiting = &mut self.targets[target].waiting;
            let is_reached = |sent: &Sent| (self.case.reaches)(sent.instance, target, now);
            let Some(next) = waiting.iter().position(is_reached) else {
                break;
            };
            let Some(sent) = waiting.remove(next) else {
                break;
            };
            let service = self.rng.random_range(SERVICE_MS / 2..=SERVICE_MS * 3 / 2);
            self.targets[target].running.push((sent, now + service));
        }
        for (sent, _) in done {
            self.answer(target, sent, now);
        }
    }

    fn answer(&mut self, target: usize, sent: Sent, now: u64) {
        self.instances[sent.instance].loads[target].record_ended();
        let load = self.targets[target].waiting.len() + self.targets[target].running.len();
        if let Some(load) = (self.case.report)(load, now) {
            let due = now + self.case.report_delay;
            self.reports.push_back((due, sent.instance, target, load));
        }
        if now - sent.came <= OBJECTIVE_MS {
            self.second(sent.came).in_time += 1;
        }
    }

    fn second(&mut self, now: u64) -> &mut SecondFigures {
        &mut self.seconds[(now / 1_000) as usize]
    }
}
