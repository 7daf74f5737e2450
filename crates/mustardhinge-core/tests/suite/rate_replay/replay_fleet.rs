//! Instances, customers and leaders, without a network.

use mustardhinge_core::overload::OverloadControl;
use mustardhinge_core::prelude::InstanceId;
use mustardhinge_core::rate_limit::{AllowanceTable, RateLimiter, RateRefusal};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::replay_customer::ReplayCustomer;
use super::replay_zone::{ReplayZones, WaitingOperation};
use super::{INSTANCES, STEP, at};

/// Interval between regular requests, in milliseconds.
const REQUEST_INTERVAL: u64 = 500;
/// Interval between the requests before the first grant, in milliseconds.
const FIRST_REQUEST_INTERVAL: u64 = 100;
/// Time that an operation may wait for the first grant, in milliseconds: three quarters of the
/// shorter statement timeout.
const FIRST_GRANT_WAIT: u64 = 750;

/// Time that an operation may wait until its instance counts as isolated, in milliseconds: three
/// quarters of the objective of the largest route.
const ISOLATION_WAIT: u64 = 300;

struct ReplayInstance {
    id: InstanceId,
    incarnation: u64,
    table: AllowanceTable,
    requested_at: u64,
    starts_at: u64,
    /// The leader does not answer this process before this time.
    first_answer_at: u64,
    /// The leader that this process knows.
    fence: Option<u64>,
    /// The operations that wait for a grant or a loan.
    waiting: Vec<WaitingOperation>,
}

/// The fleet.
pub(super) struct ReplayFleet {
    pub(super) customers: Vec<ReplayCustomer>,
    instances: Vec<ReplayInstance>,
    limiter: RateLimiter,
    fence: u64,
    /// There is no leader before this time.
    leader_from: u64,
    /// Part of the messages that are lost.
    pub(super) loss: f64,
    /// Instances that the leader doesn't answer.
    pub(super) cut_from_leader: Vec<usize>,
    /// The share pools of the zones.
    pub(super) zones: ReplayZones,
    pub(super) random: SmallRng,
    overload: OverloadControl,
    pub(super) now: u64,
    /// Number of operations refused before the first grant of their instance, or after they had
    /// waited for it.
    pub(super) refused_at_start: usize,
}

impl ReplayFleet {
    /// Creates a fleet whose instances start at time 0.
    pub(super) fn new(overload: OverloadControl, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let customers = ReplayCustomer::all(&mut random);
        let instances = (0..INSTANCES).map(|index| ReplayInstance {
            id: format!("i{index}").parse().unwrap(),
            incarnation: 0,
            table: new_table(&customers, overload, 0),
            // Instances don't send their requests in the same step.
            requested_at: index as u64 % REQUEST_INTERVAL,
            starts_at: 0,
            first_answer_at: 0,
            fence: None,
            waiting: Vec::new(),
        });
        let mut limiter = RateLimiter::default();
        limiter.set_overload_control(overload);
        Self {
            instances: instances.collect(),
            customers,
            limiter,
            fence: 1,
            leader_from: 0,
            loss: 0.0,
            cut_from_leader: Vec::new(),
            zones: ReplayZones::new(seed),
            random,
            overload,
            now: 0,
            refused_at_start: 0,
        }
    }

    /// Removes the leader. The next one serves after `away` milliseconds.
    pub(super) fn lose_leader(&mut self, away: u64) {
        self.limiter = RateLimiter::default();
        self.limiter.set_overload_control(self.overload);
        self.fence += 1;
        self.leader_from = self.now + away;
    }

    /// Restarts an instance: it accepts callers after `down` milliseconds and gets its first
    /// grant `first_answer` milliseconds later, if there is a leader. Its callers move to other
    /// instances, and others arrive when it has started.
    pub(super) fn restart(&mut self, index: usize, down: u64, first_answer: u64) {
        let starts_at = self.now + down;
        let instance = &mut self.instances[index];
        instance.incarnation += 1;
        instance.table = new_table(&self.customers, self.overload, starts_at);
        instance.requested_at = 0;
        instance.starts_at = starts_at;
        instance.first_answer_at = starts_at + first_answer;
        instance.fence = None;
        instance.waiting.clear();
        self.zones.restart(index, instance.incarnation);
    }

    /// Runs until `to`. Customer `c` sends `times(c)` times its usual demand.
    pub(super) fn run(&mut self, to: u64, times: impl Fn(usize) -> f64) {
        while self.now < to {
            self.exchange_shares(ReplayZones::deliver);
            for index in self.zones.take_requesters() {
                self.request(index);
            }
            for index in 0..INSTANCES {
                self.request_if_due(index);
                self.serve_waiting(index);
            }
            for customer in 0..self.customers.len() {
                let arriving = &self.customers[customer];
                for _ in 0..arriving.arrivals(times(customer), &mut self.random) {
                    self.arrive(customer);
                }
            }
            self.exchange_shares(ReplayZones::exchange);
            self.now += STEP;
        }
    }

    fn arrive(&mut self, customer: usize) {
        let callers = self.customers[customer].callers.len();
        let caller = self.random.random_range(0..callers);
        while self.instances[self.customers[customer].callers[caller]].starts_at > self.now {
            self.customers[customer].callers[caller] = self.random.random_range(0..INSTANCES);
            if self.instances.iter().all(|one| one.starts_at > self.now) {
                return;
            }
        }
        let index = self.customers[customer].callers[caller];
        self.operate(index, WaitingOperation::new(customer, self.now));
    }

    fn operate(&mut self, index: usize, operation: WaitingOperation) {
        let now = self.now;
        let WaitingOperation {
            customer,
            arrived_at,
            ..
        } = operation;
        for attempt in 0..2 {
            let id = &self.customers[customer].id;
            let admitted = self.instances[index]
                .table
                .admit(id, INSTANCES, at(now + 5));
            match admitted {
                Ok(_) => return self.customers[customer].admitted.push(now),
                Err(RateRefusal::AwaitFirstGrant(_)) if now < arrived_at + FIRST_GRANT_WAIT => {
                    return self.instances[index].waiting.push(operation);
                }
                Err(RateRefusal::RequestMore) if attempt == 0 => self.request(index),
                Err(RateRefusal::RequestMore) if self.waits_for_isolation(index, arrived_at) => {
                    return self.instances[index].waiting.push(operation);
                }
                Err(RateRefusal::Exhausted(_)) if self.waits_for_loan(index, operation) => return,
                Err(_) => break,
            }
        }
        let has_waited = arrived_at < now;
        if has_waited || self.instances[index].fence.is_none() {
            self.refused_at_start += 1;
        }
        self.customers[customer].refused.push(now);
    }

    fn waits_for_isolation(&self, index: usize, arrived_at: u64) -> bool {
        let left = self.instances[index]
            .table
            .time_until_isolated(at(self.now));
        let left = left.as_millis() as u64;
        self.overload.is_on() && self.now + left < arrived_at + ISOLATION_WAIT
    }

    /// Lets an operation wait for the response of its zone's share pool, if it may.
    fn waits_for_loan(&mut self, index: usize, mut operation: WaitingOperation) -> bool {
        let instance = &mut self.instances[index];
        let id = &self.customers[operation.customer].id;
        let waits = instance.table.uses_shares(at(self.now + 5))
            && self.zones.request_loan(index, id, &mut operation, self.now);
        if waits {
            instance.waiting.push(operation);
        }
        waits
    }

    fn serve_waiting(&mut self, index: usize) {
        for operation in std::mem::take(&mut self.instances[index].waiting) {
            self.operate(index, operation);
        }
    }

    fn exchange_shares(
        &mut self,
        exchange: impl Fn(&mut ReplayZones, &mut [&mut AllowanceTable], &[u64], u64),
    ) {
        if !self.overload.is_on() {
            return;
        }
        let starts: Vec<_> = self.instances.iter().map(|one| one.starts_at).collect();
        let tables = self.instances.iter_mut().map(|one| &mut one.table);
        let mut tables: Vec<_> = tables.collect();
        exchange(&mut self.zones, &mut tables, &starts, self.now);
    }

    fn request_if_due(&mut self, index: usize) {
        let instance = &self.instances[index];
        let interval = if instance.fence.is_some() {
            REQUEST_INTERVAL
        } else {
            FIRST_REQUEST_INTERVAL
        };
        if instance.starts_at <= self.now && instance.requested_at + interval <= self.now {
            self.request(index);
        }
    }

    fn request(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        instance.requested_at = now;
        let reports = instance.table.reports(at(now));
        let is_answered = now >= self.leader_from.max(instance.first_answer_at)
            && !self.cut_from_leader.contains(&index);
        if !is_answered || self.random.random_bool(self.loss) {
            return;
        }
        let requester = (&instance.id, instance.incarnation);
        self.limiter
            .record_request(&instance.id, INSTANCES, at(now));
        let customers = &self.customers;
        let grants: Vec<_> = reports
            .iter()
            .map(|report| {
                let found = customers.iter().find(|one| one.id == report.customer);
                let limits = found.unwrap().limits;
                self.limiter.grant(requester, report, limits, at(now + 2))
            })
            .collect();
        if self.random.random_bool(self.loss) {
            return;
        }
        if instance.fence != Some(self.fence) {
            instance.fence = Some(self.fence);
            instance.table.resend_all();
        }
        instance.table.apply_grants(&grants, at(now), at(now + 4));
        let is_started = |other: usize| self.instances[other].starts_at <= now;
        self.zones.record_grant(index, is_started);
    }
}

fn new_table(
    customers: &[ReplayCustomer],
    overload: OverloadControl,
    starts_at: u64,
) -> AllowanceTable {
    let mut table = AllowanceTable::starting_at(at(starts_at));
    table.set_overload_control(overload);
    let limits = customers.iter().map(|one| (&one.id, one.limits));
    table.set_customers(limits, at(starts_at));
    table
}
