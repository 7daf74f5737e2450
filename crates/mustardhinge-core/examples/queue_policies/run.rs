//! Simulates a load on a queue in front of a group of targets.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{FairQueue, PopOutcome, SlotLimiter, WaitingItem};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::first_come::FirstCome;

/// Mean service time of a statement at a target.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Time within which a caller needs its response, in microseconds.
const DEADLINE_US: u64 = 500_000;
/// Duration of a run, in microseconds.
const DURATION_US: u64 = 60_000_000;
/// Number of customers.
const CUSTOMERS: usize = 8;
/// Load without a flood, in percent of the capacity of all targets.
const BASE_PERCENT: u64 = 60;
/// Factor by which a flooding customer exceeds its share of the load.
const FLOOD_FACTOR: u64 = 5;

/// A statement: its customer and its arrival time in microseconds.
type Statement = (usize, u64);

/// A queue policy under comparison.
pub(crate) trait StatementQueue {
    fn push(&mut self, arrival: WaitingItem<Statement>, now: MonotonicTime);
    fn pop(&mut self, now: MonotonicTime) -> Option<Statement>;
    fn record(&mut self, took: Duration);
    fn set_slots(&mut self, slots: u32);
}

impl StatementQueue for FairQueue<Statement> {
    fn push(&mut self, arrival: WaitingItem<Statement>, now: MonotonicTime) {
        let _ = self.push(arrival, now);
    }

    fn pop(&mut self, now: MonotonicTime) -> Option<Statement> {
        loop {
            match self.pop(now)? {
                PopOutcome::Ready(ready) => return Some(ready.item),
                PopOutcome::Expired(_) => {}
            }
        }
    }

    fn record(&mut self, took: Duration) {
        self.record_service(1, took);
    }

    fn set_slots(&mut self, slots: u32) {
        self.set_slots(slots);
    }
}

impl StatementQueue for FirstCome<Statement> {
    fn push(&mut self, arrival: WaitingItem<Statement>, _: MonotonicTime) {
        self.push(arrival);
    }

    fn pop(&mut self, now: MonotonicTime) -> Option<Statement> {
        self.pop(now)
    }

    fn record(&mut self, _: Duration) {}

    fn set_slots(&mut self, _: u32) {}
}

/// The results of one customer's statements.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    offered: usize,
    /// Latencies of the statements that completed in time, in microseconds.
    latencies: Vec<u64>,
}

impl Outcome {
    /// Returns the fraction of statements that completed in time.
    pub(crate) fn goodput(&self) -> f64 {
        self.latencies.len() as f64 / self.offered as f64
    }

    /// Returns the 99th percentile of the latencies, in milliseconds.
    pub(crate) fn p99_ms(&self) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let index = sorted.len() * 99 / 100;
        sorted
            .get(index)
            .map_or(f64::NAN, |micros| *micros as f64 / 1e3)
    }
}

/// The parameters of one run.
pub(crate) struct Load {
    pub(crate) seed: u64,
    /// Number of statements that a target runs concurrently.
    pub(crate) slots: u32,
    /// Number of customers that flood.
    pub(crate) flooding: usize,
    /// Whether one of the three targets fails halfway through the run.
    pub(crate) is_target_down: bool,
}

impl Load {
    pub(crate) fn run(&self, queue: &mut impl StatementQueue) -> Vec<Outcome> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut outcomes = vec![Outcome::default(); CUSTOMERS];
        let mut limiter = SlotLimiter::new(3 * self.slots);
        let mut running: BinaryHeap<Reverse<(u64, u64, Statement)>> = BinaryHeap::new();
        let names: Vec<CustomerId> = (0..CUSTOMERS)
            .map(|customer| format!("c{customer}").parse().unwrap())
            .collect();
        for (arrived, customer) in self.arrivals(&mut random) {
            while running
                .peek()
                .is_some_and(|Reverse((end, ..))| *end <= arrived)
            {
                let Some(Reverse((end, took, (of, since)))) = running.pop() else {
                    break;
                };
                limiter.release();
                queue.record(Duration::from_micros(took));
                if end <= since + DEADLINE_US {
                    outcomes[of].latencies.push(end - since);
                }
                self.start(queue, &mut limiter, &mut running, (end, &mut random));
            }
            if self.is_target_down && arrived >= DURATION_US / 2 {
                limiter.set_limit(2 * self.slots);
                queue.set_slots(2 * self.slots);
            }
            outcomes[customer].offered += 1;
            let arrival = WaitingItem {
                customer: names[customer].clone(),
                deadline: MonotonicTime::from_micros(arrived + DEADLINE_US),
                cost: 1,
                item: (customer, arrived),
            };
            queue.push(arrival, MonotonicTime::from_micros(arrived));
            self.start(queue, &mut limiter, &mut running, (arrived, &mut random));
        }
        outcomes
    }

    /// Starts waiting statements while slots are free.
    fn start(
        &self,
        queue: &mut impl StatementQueue,
        limiter: &mut SlotLimiter,
        running: &mut BinaryHeap<Reverse<(u64, u64, Statement)>>,
        (time, random): (u64, &mut StdRng),
    ) {
        while limiter.try_acquire() {
            let Some(statement) = queue.pop(MonotonicTime::from_micros(time)) else {
                limiter.release();
                return;
            };
            let unit: f64 = random.random_range(1e-9..1.0);
            let took = (-unit.ln() * SERVICE_TIME.as_micros() as f64) as u64;
            running.push(Reverse((time + took, took, statement)));
        }
    }

    fn arrivals(&self, random: &mut StdRng) -> Vec<(u64, usize)> {
        let capacity = DURATION_US * 3 * u64::from(self.slots) / 10_000;
        let share = capacity * BASE_PERCENT / 100 / CUSTOMERS as u64;
        let mut arrivals = Vec::new();
        for customer in 0..CUSTOMERS {
            let count = if customer < self.flooding {
                share * FLOOD_FACTOR
            } else {
                share
            };
            arrivals.extend((0..count).map(|_| (random.random_range(0..DURATION_US), customer)));
        }
        arrivals.sort_unstable();
        arrivals
    }
}
