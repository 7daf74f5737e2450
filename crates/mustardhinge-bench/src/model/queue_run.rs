use std::collections::BTreeMap;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{
    PopOutcome, QueueLimits, QueueRefusal, RetryJitter, SlotLimiter, WorkKind,
};
use mustardhinge_entry::target::{LeasedWork, QueuePlace, RequestQueue, SlotRequest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::model_run::CUSTOMERS;
use super::queue_case::{OBJECTIVES, SLOT_TIMES};
use super::{QueueCase, QueueFigures, QueuePolicy};

/// Slots of the target.
pub(super) const SLOTS: u32 = 5;
/// Statement deadline of the service: the longest of the objectives.
const DEADLINE: Duration = Duration::from_millis(1_200);
/// Number of times that a caller retries a refused operation.
const MAX_RETRIES: u32 = 2;
/// How long a run takes, in milliseconds.
const DURATION: u64 = 10_000;
/// Time after it in which what waits and retries ends, in milliseconds.
const SETTLE: u64 = 20_000;
/// Retry delay of the entry for a request without priorities that has waited too long.
const CONNECT_TIMEOUT: RetryDelay = RetryDelay::new(Duration::from_millis(500));

/// Runs both queues over a load; a seed gives the same operations to each.
#[must_use]
pub fn run_queues(case: QueueCase, seed: u64) -> Vec<QueueFigures> {
    let policies = QueuePolicy::ALL.iter();
    policies
        .map(|policy| QueueRun::new(case, *policy, seed).run())
        .collect()
}

#[derive(Clone, Copy)]
struct Operation {
    customer: usize,
    priority: usize,
    arrived_at: u64,
    retries: u32,
}

struct RunningOperation {
    operation: Operation,
    work: Option<LeasedWork>,
    started_at: u64,
    ends_at: u64,
}

/// One target behind the queue of the entry. Connections are open, and answers travel in no time.
struct QueueRun {
    queue: RequestQueue<Operation>,
    slots: SlotLimiter,
    places: Vec<QueuePlace>,
    running: Vec<RunningOperation>,
    returning: BTreeMap<u64, Vec<Operation>>,
    ids: Vec<CustomerId>,
    arrivals: SmallRng,
    draws: SmallRng,
    figures: QueueFigures,
}

impl QueueRun {
    fn new(case: QueueCase, policy: QueuePolicy, seed: u64) -> Self {
        let ids = (0..CUSTOMERS).filter_map(|customer| format!("c{customer}").parse().ok());
        Self {
            queue: RequestQueue::new(QueueLimits::new().slots(SLOTS)),
            slots: SlotLimiter::new(SLOTS),
            places: Vec::new(),
            running: Vec::new(),
            returning: BTreeMap::new(),
            ids: ids.collect(),
            arrivals: SmallRng::seed_from_u64(seed),
            draws: SmallRng::seed_from_u64(seed + 1),
            figures: QueueFigures::new(case, policy),
        }
    }

    fn run(mut self) -> QueueFigures {
        for now in 0..DURATION + SETTLE {
            self.complete(now);
            self.expire(now);
            for operation in self.returning.remove(&now).unwrap_or_default() {
                self.arrive(operation, now);
            }
            if now < DURATION {
                self.offer(now);
            }
        }
        self.figures
    }

    fn offer(&mut self, now: u64) {
        for customer in 0..CUSTOMERS {
            for priority in 0..SLOT_TIMES.len() {
                let mean = self.figures.case.arrivals(customer, priority, now);
                let extra = self.arrivals.random_bool(mean.fract());
                // Few arrive in a millisecond.
                for _ in 0..mean as u32 + u32::from(extra) {
                    self.figures.counts[customer][priority].offered += 1;
                    let operation = Operation {
                        customer,
                        priority,
                        arrived_at: now,
                        retries: 0,
                    };
                    self.arrive(operation, now);
                }
            }
        }
    }

    fn request(&self, operation: Operation) -> SlotRequest {
        // There are three priorities.
        let priority = u8::try_from(operation.priority).unwrap_or(u8::MAX);
        SlotRequest {
            customer: self.ids[operation.customer].clone(),
            deadline: MonotonicTime::from_millis(operation.arrived_at) + DEADLINE,
            priority: RoutePriority::new(priority),
            kind: WorkKind::Read,
            weight: self.figures.policy.weight(operation.customer),
        }
    }

    fn arrive(&mut self, mut operation: Operation, now: u64) {
        operation.arrived_at = now;
        let request = self.request(operation);
        let at = MonotonicTime::from_millis(now);
        if self.queue.is_empty() && self.slots.try_acquire() {
            self.queue.record_direct(&request, true, at);
            return self.start(operation, now);
        }
        match self.queue.push(&request, operation, at) {
            Ok((place, displaced)) => {
                self.places.push(place);
                if let Some(refusal) = displaced {
                    self.refuse(&refusal, now);
                }
            }
            Err(refusal) => self.refuse(&refusal, now),
        }
    }

    fn start(&mut self, operation: Operation, now: u64) {
        let usual = SLOT_TIMES[operation.priority];
        let slot_time = self.draw_slot_time(usual);
        let started_at = MonotonicTime::from_millis(now);
        self.running.push(RunningOperation {
            work: LeasedWork::of(&self.request(operation), started_at),
            operation,
            started_at: now,
            ends_at: now + slot_time,
        });
    }

    /// Draws a slot time without a change of the arrivals, which are the same for both queues.
    fn draw_slot_time(&mut self, usual: u64) -> u64 {
        self.draws.random_range(usual / 2..=usual * 3 / 2)
    }

    fn complete(&mut self, now: u64) {
        let at = MonotonicTime::from_millis(now);
        let ended = self
            .running
            .extract_if(.., |running| running.ends_at <= now);
        for running in ended.collect::<Vec<_>>() {
            let elapsed = Duration::from_millis(now - running.started_at);
            self.queue.record_service(elapsed);
            if let Some(work) = running.work {
                self.queue.record_work(work, at);
            }
            self.slots.release();
            self.answer(running.operation, now);
        }
        while self.slots.try_acquire() {
            if !self.start_next(now) {
                self.slots.release();
                return;
            }
        }
    }

    /// Starts the next waiting operation; returns whether there was one.
    fn start_next(&mut self, now: u64) -> bool {
        while let Some(popped) = self.queue.pop(MonotonicTime::from_millis(now)) {
            match popped {
                PopOutcome::Expired(refusal) => self.refuse(&refusal, now),
                PopOutcome::Ready(ready) => {
                    self.start(ready.item, now);
                    return true;
                }
            }
        }
        false
    }

    /// Refuses what has waited until its time.
    fn expire(&mut self, now: u64) {
        let at = MonotonicTime::from_millis(now);
        let expired = self.places.extract_if(.., |place| place.wait_until <= at);
        for place in expired.collect::<Vec<_>>() {
            if let Some(operation) = self.queue.cancel(&place) {
                let request = self.request(operation);
                let delay = self.queue.retry_delay(&request, at);
                self.retry(operation, delay.unwrap_or(CONNECT_TIMEOUT), now);
            }
        }
    }

    fn answer(&mut self, operation: Operation, now: u64) {
        if now - operation.arrived_at <= OBJECTIVES[operation.priority] {
            self.figures.counts[operation.customer][operation.priority].in_time += 1;
        } else {
            self.figures.late += 1;
        }
    }

    fn refuse(&mut self, refusal: &QueueRefusal<Operation>, now: u64) {
        self.retry(refusal.refused.item, refusal.retry_after, now);
    }

    fn retry(&mut self, mut operation: Operation, delay: RetryDelay, now: u64) {
        let waited = now - operation.arrived_at;
        self.figures.refused_late += u32::from(waited > OBJECTIVES[operation.priority] / 4);
        if operation.retries >= MAX_RETRIES {
            return;
        }
        operation.retries += 1;
        let priority = self.request(operation).priority;
        let delay = match self.figures.policy {
            QueuePolicy::Fair => delay,
            QueuePolicy::Priority => RetryJitter::spread(delay, priority, self.draws.random()),
        };
        let millis = u64::try_from(delay.get().as_millis()).unwrap_or(u64::MAX);
        let returns_at = now + millis.max(1);
        self.returning
            .entry(returns_at)
            .or_default()
            .push(operation);
    }
}
