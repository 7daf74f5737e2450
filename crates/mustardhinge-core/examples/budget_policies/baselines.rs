//! Baseline policies for the comparison.

use crate::history::{AdmissionHistory, PlainLimit};
use crate::scenario::{Fault, INSTANCES, SECOND, Scenario, ZONES};

/// The instance that keeps the central counter.
const COORDINATOR: usize = 1;
/// The time until another instance takes over after a crash of the coordinator: the
/// term of its lease.
const TAKEOVER: u64 = 10 * SECOND;

/// A token bucket over global time.
#[derive(Clone, Copy, Debug)]
struct PlainBucket {
    rate: f64,
    burst: f64,
    fill: f64,
    filled_at: u64,
}

impl PlainBucket {
    fn empty(limit: PlainLimit, parts: usize, now: u64) -> Self {
        Self {
            rate: limit.rate as f64 / parts as f64,
            burst: limit.burst as f64 / parts as f64,
            fill: 0.0,
            filled_at: now,
        }
    }

    fn try_take(&mut self, now: u64) -> bool {
        let seconds = (now - self.filled_at) as f64 / SECOND as f64;
        self.filled_at = now;
        self.fill = (self.fill + self.rate * seconds).min(self.burst);
        let has_one = self.fill >= 1.0;
        if has_one {
            self.fill -= 1.0;
        }
        has_one
    }
}

/// Runs the policy in which each of n instances has 1/n of every customer's rate and
/// burst.
pub(crate) fn run_static(scenario: &Scenario) -> Vec<AdmissionHistory> {
    let mut histories = vec![AdmissionHistory::default(); scenario.limits.len()];
    let new_buckets = |time| {
        let bucket = |limit: &PlainLimit| PlainBucket::empty(*limit, INSTANCES, time);
        scenario.limits.iter().map(bucket).collect::<Vec<_>>()
    };
    let mut buckets = vec![new_buckets(0); INSTANCES];
    let mut is_replaced = [false; INSTANCES];
    for (time, instance, customer) in &scenario.requests {
        let fault_at = Scenario::fault_at(*instance);
        if is_replacement(scenario, *instance) && *time >= fault_at && !is_replaced[*instance] {
            is_replaced[*instance] = true;
            buckets[*instance] = new_buckets(fault_at);
        }
        let is_admitted = buckets[*instance][*customer].try_take(*time);
        record(&mut histories[*customer], *time, is_admitted);
    }
    histories
}

/// Runs the policy in which one instance counts for all under the short lease, and the
/// others send their requests to it.
pub(crate) fn run_central(scenario: &Scenario) -> Vec<AdmissionHistory> {
    let mut histories = vec![AdmissionHistory::default(); scenario.limits.len()];
    let mut buckets: Vec<_> = scenario
        .limits
        .iter()
        .map(|limit| PlainBucket::empty(*limit, 1, 0))
        .collect();
    let restart = restart(scenario);
    let mut is_restarted = false;
    for (time, instance, customer) in &scenario.requests {
        if restart.is_some_and(|(_, up)| *time >= up) && !is_restarted {
            is_restarted = true;
            for (bucket, limit) in buckets.iter_mut().zip(&scenario.limits) {
                *bucket = PlainBucket::empty(*limit, 1, *time);
            }
        }
        let is_down = restart.is_some_and(|(down, up)| (down..up).contains(time));
        let is_reachable = !is_down && !is_unreachable(scenario, *time, *instance);
        let is_admitted = is_reachable && buckets[*customer].try_take(*time);
        record(&mut histories[*customer], *time, is_admitted);
    }
    histories
}

/// Returns the start and end of the outage of the coordinator after a replacement or a
/// crash.
fn restart(scenario: &Scenario) -> Option<(u64, u64)> {
    let fault_at = Scenario::fault_at(COORDINATOR);
    match scenario.fault {
        Fault::RollingReplacement => Some((fault_at, fault_at + 1)),
        Fault::RollingCrash | Fault::HolderCrash => Some((fault_at, fault_at + TAKEOVER)),
        _ => None,
    }
}

fn is_unreachable(scenario: &Scenario, time: u64, instance: usize) -> bool {
    let (start, end) = scenario.outage();
    let is_active = (start..end).contains(&time);
    match scenario.fault {
        Fault::ZonePartition => is_active && instance.is_multiple_of(ZONES),
        Fault::StoreDown => is_active && time >= start + TAKEOVER,
        _ => false,
    }
}

fn is_replacement(scenario: &Scenario, instance: usize) -> bool {
    match scenario.fault {
        Fault::RollingReplacement | Fault::RollingCrash => true,
        Fault::HolderCrash => instance == COORDINATOR,
        _ => false,
    }
}

fn record(history: &mut AdmissionHistory, time: u64, is_admitted: bool) {
    if is_admitted {
        history.admitted.push(time);
    } else {
        history.refused.push(time);
    }
}
