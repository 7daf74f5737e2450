use std::collections::VecDeque;
use std::time::Duration;

use mustardhinge_core::placement::{PlacementCandidate, SpreadCandidate, SpreadLimits, TargetLoad};
use mustardhinge_core::prelude::MonotonicTime;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::placement_case::ZONES;
use super::{PlacementCase, PlacementFigures, PlacementPolicy};

/// Targets, one in each zone but the last.
const TARGETS: usize = 3;
/// Statements that a target runs at once.
const SLOTS: usize = 5;
/// Mean service time, in milliseconds.
const SERVICE: u64 = 24;
/// Load, as a part of what all targets can do.
const LOAD: f64 = 0.8;
/// Time in which an answer counts, in milliseconds.
const OBJECTIVE: u64 = 400;
/// Length of a run, in milliseconds; one period of the demand of a zone.
const DURATION: u32 = 13_000;
/// Numbers of instances that are compared.
const INSTANCES: [usize; 3] = [7, 76, 300];
/// Times between reports that are compared, in milliseconds.
const REPORT_MS: [u64; 3] = [50, 200, 1_000];

/// Runs all placement policies over a case.
#[must_use]
pub fn run_placement(case: PlacementCase, seed: u64) -> Vec<PlacementFigures> {
    let mut figures = Vec::new();
    for instances in INSTANCES {
        for report_ms in REPORT_MS {
            for policy in PlacementPolicy::ALL {
                let run = PlacementRun::new((policy, case), (instances, report_ms), seed);
                figures.push(run.finish());
            }
        }
    }
    figures
}

#[derive(Clone, Copy)]
struct SentRead {
    instance: usize,
    came: u64,
}

#[derive(Default)]
struct Target {
    waiting: VecDeque<SentRead>,
    running: Vec<(SentRead, u64)>,
}

/// What an instance knows of a target: the estimate of the product, and the last report whatever
/// its age, for the other policies.
#[derive(Clone, Copy, Default)]
struct KnownTarget {
    load: TargetLoad,
    reported: usize,
}

struct PlacementRun {
    instances: Vec<[KnownTarget; TARGETS]>,
    targets: [Target; TARGETS],
    arrivals: SmallRng,
    choices: SmallRng,
    services: SmallRng,
    figures: PlacementFigures,
}

impl PlacementRun {
    fn new(
        (policy, case): (PlacementPolicy, PlacementCase),
        (instances, report_ms): (usize, u64),
        seed: u64,
    ) -> Self {
        Self {
            instances: vec![Default::default(); instances],
            targets: Default::default(),
            arrivals: SmallRng::seed_from_u64(seed),
            choices: SmallRng::seed_from_u64(seed + 1),
            services: SmallRng::seed_from_u64(seed + 2),
            figures: PlacementFigures {
                policy,
                case,
                instances,
                report_ms,
                came: 0,
                in_time: 0,
                sent: vec![0; TARGETS],
                other_zone: 0,
                idle_ms: 0,
                deviations: 0.0,
                duration_ms: DURATION,
            },
        }
    }

    fn finish(mut self) -> PlacementFigures {
        for now in 0..u64::from(DURATION) {
            if now % self.figures.report_ms == 0 {
                self.report(now);
            }
            self.arrive(now);
            self.work(now);
            self.measure();
        }
        // Reads that are under way can still be answered in time.
        for now in u64::from(DURATION)..u64::from(DURATION) + OBJECTIVE {
            self.work(now);
        }
        self.figures
    }

    /// Tells all instances the load of all targets.
    fn report(&mut self, now: u64) {
        let at = MonotonicTime::from_millis(now);
        for (index, target) in self.targets.iter().enumerate() {
            let statements = target.waiting.len() + target.running.len();
            for instance in &mut self.instances {
                instance[index].load.record_report(statements, at);
                instance[index].reported = statements;
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        let speeds = (0..TARGETS).map(|target| self.figures.case.speed(target));
        let rate = LOAD * speeds.sum::<f64>() * SLOTS as f64 / SERVICE as f64;
        for zone in 0..ZONES {
            let members = (zone..self.instances.len()).step_by(ZONES).len();
            let part = members as f64 / self.instances.len() as f64;
            let load = rate * part * self.figures.case.demand(zone, now);
            let count =
                load.floor() as usize + usize::from(self.arrivals.random_bool(load.fract()));
            for _ in 0..count {
                let instance = zone + self.arrivals.random_range(0..members) * ZONES;
                self.place(instance, now);
            }
        }
    }

    fn place(&mut self, instance: usize, now: u64) {
        let candidates = self.candidates(instance, now);
        let limits = SpreadLimits {
            max_wait: Duration::from_millis(OBJECTIVE),
            senders: self.instances.len(),
        };
        let policy = self.figures.policy;
        let Some(target) = policy.choose(&candidates, limits, &mut self.choices) else {
            return;
        };
        let known = &mut self.instances[instance][target];
        known.load.record_sent(MonotonicTime::from_millis(now));
        let read = SentRead {
            instance,
            came: now,
        };
        self.targets[target].waiting.push_back(read);
        self.figures.came += 1;
        self.figures.sent[target] += 1;
        let is_other_zone = !candidates[target].target.is_same_zone;
        self.figures.other_zone += u32::from(is_other_zone);
    }

    fn candidates(&self, instance: usize, now: u64) -> [SpreadCandidate; TARGETS] {
        let case = self.figures.case;
        std::array::from_fn(|target| {
            let known = self.instances[instance][target];
            let latency = Duration::from_millis(SERVICE).div_f64(case.speed(target));
            let at = MonotonicTime::from_millis(now);
            let load = known.load.estimate(SLOTS, latency, at);
            let in_flight = match self.figures.policy {
                PlacementPolicy::FreeCapacity => load.statements,
                _ => known.reported.max(known.load.unanswered()),
            };
            SpreadCandidate {
                target: PlacementCandidate {
                    is_primary: false,
                    is_same_zone: case.is_near(instance % ZONES, target),
                    is_leaving: false,
                    is_failing: false,
                    lacks_position: false,
                    is_too_stale: false,
                    in_flight,
                    slots: SLOTS,
                    typical_latency: latency,
                    has_connection: true,
                },
                age: load.age,
                is_silent: load.is_silent,
            }
        })
    }

    fn work(&mut self, now: u64) {
        for index in 0..TARGETS {
            let target = &mut self.targets[index];
            let mut done = Vec::new();
            target.running.retain(|(read, end)| {
                if *end <= now {
                    done.push(*read);
                }
                *end > now
            });
            while target.running.len() < SLOTS
                && let Some(read) = target.waiting.pop_front()
            {
                let service = self.services.random_range(SERVICE / 2..=SERVICE * 3 / 2);
                let service = service as f64 / self.figures.case.speed(index);
                target.running.push((read, now + service as u64));
            }
            for read in done {
                self.instances[read.instance][index].load.record_ended();
                self.figures.in_time += u32::from(now - read.came <= OBJECTIVE);
            }
        }
    }

    fn measure(&mut self) {
        let waits = |target: &Target| !target.waiting.is_empty();
        let idles = |target: &Target| target.running.len() < SLOTS;
        let is_idle = self.targets.iter().any(idles) && self.targets.iter().any(waits);
        self.figures.idle_ms += u32::from(is_idle);
        let lengths = self.targets.each_ref();
        let lengths = lengths.map(|target| (target.waiting.len() + target.running.len()) as f64);
        let mean = lengths.iter().sum::<f64>() / TARGETS as f64;
        let squares = lengths.iter().map(|length| (length - mean).powi(2));
        self.figures.deviations += (squares.sum::<f64>() / TARGETS as f64).sqrt();
    }
}
