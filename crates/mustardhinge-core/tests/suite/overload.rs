//! Several instances that overload one target: a small model of the target's slots and queue,
//! with the same policies that instances use.

use std::collections::VecDeque;
use std::time::Duration;

use mustardhinge_core::connection::{ConnectionShare, UseFrequency};
use mustardhinge_core::prelude::{CustomerId, MonotonicTime};
use mustardhinge_core::queue::{
    FairQueue, PopOutcome, PushOutcome, QueueLimits, SlotWindow, WaitingItem,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Number of statements that the target runs concurrently.
const SLOTS: usize = 2;
/// Number of statements that can wait at the target before it refuses more.
const TARGET_QUEUE: usize = 16;
/// Mean service time of a statement at the target, in milliseconds.
const SERVICE_MS: u64 = 14;
/// Latency objective of the statements, in milliseconds.
const OBJECTIVE_MS: u64 = 200;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[derive(Clone, Copy)]
struct Statement {
    instance: usize,
    arrived: u64,
    sent: u64,
}

struct Instance {
    queue: FairQueue<u64>,
    window: SlotWindow,
    running: usize,
}

#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    refused_on_arrival: u32,
    refused_after_waiting: u32,
}

struct Model {
    instances: Vec<Instance>,
    random: SmallRng,
    slots: Vec<Option<(Statement, u64)>>,
    waiting: VecDeque<Statement>,
    outcome: Outcome,
}

impl Model {
    fn new(instances: usize, seed: u64) -> Self {
        let limits = QueueLimits::new().quantum(3).slots(SLOTS as u32);
        let limits = limits.initial_service_time(millis(20));
        let instances = (0..instances).map(|_| Instance {
            queue: FairQueue::new(limits),
            window: SlotWindow::new(SLOTS),
            running: 0,
        });
        Self {
            instances: instances.collect(),
            random: SmallRng::seed_from_u64(seed),
            slots: vec![None; SLOTS],
            waiting: VecDeque::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(&mut self, duration: u64, per_second: f64) {
        for now in 0..duration {
            if self.random.random_bool(per_second / 1_000.0) {
                self.arrive(now);
            }
            for index in 0..self.instances.len() {
                self.send(index, now);
            }
            self.serve(now);
        }
    }

    fn arrive(&mut self, now: u64) {
        let index = self.random.random_range(0..self.instances.len());
        let customer: CustomerId = format!("c{}", self.random.random_range(0..8))
            .parse()
            .unwrap();
        let arrival = WaitingItem {
            customer,
            deadline: at(now + OBJECTIVE_MS * 3 / 4),
            cost: 1,
            item: now,
        };
        match self.instances[index].queue.push(arrival, at(now)) {
            PushOutcome::Refused(_) => self.outcome.refused_on_arrival += 1,
            PushOutcome::Queued { displaced, .. } => {
                self.outcome.refused_after_waiting += u32::from(displaced.is_some());
            }
        }
    }

    fn send(&mut self, index: usize, now: u64) {
        let instance = &mut self.instances[index];
        while instance.running < instance.window.size() {
            match instance.queue.pop(at(now)) {
                None => return,
                Some(PopOutcome::Expired(_)) => self.outcome.refused_after_waiting += 1,
                Some(PopOutcome::Ready(ready)) if self.waiting.len() < TARGET_QUEUE => {
                    instance.running += 1;
                    self.waiting.push_back(Statement {
                        instance: index,
                        arrived: ready.item,
                        sent: now,
                    });
                }
                Some(PopOutcome::Ready(_)) => {
                    instance.window.record_refusal(millis(SERVICE_MS), at(now));
                    self.outcome.refused_after_waiting += 1;
                }
            }
        }
    }

    fn serve(&mut self, now: u64) {
        for slot in 0..SLOTS {
            if let Some((statement, until)) = self.slots[slot]
                && until <= now
            {
                self.slots[slot] = None;
                self.answer(statement, now);
            }
            if self.slots[slot].is_none()
                && let Some(next) = self.waiting.pop_front()
            {
                let service = self
                    .random
                    .random_range(SERVICE_MS / 2..=SERVICE_MS * 3 / 2);
                self.slots[slot] = Some((next, now + service));
            }
        }
    }

    fn answer(&mut self, statement: Statement, now: u64) {
        let took = millis(now - statement.sent);
        let instance = &mut self.instances[statement.instance];
        let slow_after = millis(OBJECTIVE_MS / 3);
        instance
            .window
            .record_response((took, slow_after), instance.running, at(now));
        instance.running -= 1;
        instance.queue.record_service(1, took);
        instance.queue.set_slots(instance.window.size() as u32);
        if now - statement.arrived <= OBJECTIVE_MS {
            self.outcome.in_time += 1;
        } else {
            self.outcome.late += 1;
        }
    }
}

/// A burst of 1.7 times the target's capacity for ten seconds. Guards against statements that
/// wait until they miss their objective, so that the target spends its capacity on late work: it
/// must stay busy with statements that still complete in time, and most of the rest must be
/// refused on arrival.
#[test]
fn a_burst_keeps_the_target_busy_with_work_in_time() {
    for seed in 0..10 {
        let mut model = Model::new(7, seed);
        let capacity = SLOTS as f64 * 1_000.0 / SERVICE_MS as f64;
        model.run(10_000, capacity * 1.7);
        let outcome = &model.outcome;
        let in_time = f64::from(outcome.in_time) / (capacity * 10.0);
        assert!(in_time > 0.85, "seed {seed}: {in_time:.2}, {outcome:?}");
        let refused = outcome.refused_on_arrival + outcome.refused_after_waiting;
        assert!(
            outcome.refused_after_waiting * 5 < refused,
            "seed {seed}: {outcome:?}"
        );
    }
}

/// At 60 % of the target's capacity, less than one statement is refused or late per hundred that
/// complete in time.
#[test]
fn usual_load_is_served_in_time() {
    for seed in 0..10 {
        let mut model = Model::new(7, seed);
        let capacity = SLOTS as f64 * 1_000.0 / SERVICE_MS as f64;
        model.run(10_000, capacity * 0.6);
        let outcome = &model.outcome;
        let lost = outcome.late + outcome.refused_on_arrival + outcome.refused_after_waiting;
        assert!(lost * 100 < outcome.in_time, "seed {seed}: {outcome:?}");
    }
}

/// A target that was slow for a while is fully used again within two seconds.
#[test]
fn a_window_recovers_after_slow_answers() {
    let mut window = SlotWindow::new(5);
    let slow = (millis(900), millis(60));
    for step in 0..20 {
        window.record_response(slow, 1, at(step * 1_000));
    }
    assert_eq!(window.size(), 1);
    let mut answers = 0;
    while window.size() < 5 {
        let in_flight = window.size();
        window.record_response((millis(20), millis(60)), in_flight, at(30_000));
        answers += 1;
    }
    // At the usual 20 responses per second, this takes at most two seconds.
    assert!(answers <= 40, "{answers}");
}

/// Eight customers, two of them large, share four connections. Guards against closing the
/// connections of large customers whenever a small customer sends a request.
#[test]
fn connections_of_large_customers_are_kept() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut uses = [UseFrequency::default(); 8];
    let mut open: Vec<usize> = Vec::new();
    let (mut opened, mut large_opened) = (0, 0);
    for step in 0..5_000_u64 {
        let now = at(step * 50);
        let customer = match random.random_range(0..10) {
            0..3 => 0,
            3..6 => 1,
            _ => random.random_range(2..8),
        };
        uses[customer].record_use(now);
        if open.contains(&customer) {
            continue;
        }
        if open.len() == 4 {
            let least = (0..4)
                .min_by(|a, b| {
                    uses[open[*a]]
                        .decayed_uses(now)
                        .total_cmp(&uses[open[*b]].decayed_uses(now))
                })
                .unwrap();
            open.swap_remove(least);
        }
        open.push(customer);
        opened += 1;
        large_opened += u32::from(customer < 2);
    }
    // Six small customers share two connections: at best a third of their 40 % of the requests
    // find an open connection.
    assert!(large_opened < 50, "{large_opened}");
    assert!(opened < 1_600, "{opened}");
}

#[test]
fn shares_add_up_to_the_unreserved_connections_of_a_target() {
    for instances in 1..40 {
        let assigned: usize = (0..instances)
            .map(|index| {
                let share = ConnectionShare {
                    connection_limit: 33,
                    instances,
                    index: Some(index),
                };
                share.connections()
            })
            .sum();
        // A quarter of the 33 connections, rounded down, is reserved.
        assert_eq!(assigned, instances.max(25), "{instances} instances");
    }
}
