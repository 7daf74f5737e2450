//! Rate limits of customers over all instances.

use std::time::Duration;

use mustardhinge_core::prelude::{CustomerId, InstanceId, MonotonicTime};
use mustardhinge_core::rate_limit::{
    AllowanceTable, CustomerRate, RateLimiter, RateRefusal, UsageReport,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// The window of the rate limit target, in milliseconds.
const WINDOW: u64 = 5_000;
/// Duration of a simulation step, in milliseconds.
const STEP: u64 = 10;
/// Interval between regular requests, in milliseconds.
const REQUEST_INTERVAL: u64 = 500;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn customer() -> CustomerId {
    "c".parse().unwrap()
}

struct Instance {
    id: InstanceId,
    table: AllowanceTable,
    requested_at: u64,
    partition: std::ops::Range<u64>,
}

/// A simulated fleet whose messages take a few milliseconds or are lost.
struct Fleet {
    instances: Vec<Instance>,
    limiter: RateLimiter,
    limits: CustomerRate,
    random: SmallRng,
    loss: f64,
    admitted: Vec<u64>,
    refused: Vec<u64>,
}

impl Fleet {
    fn new(count: usize, limits: CustomerRate, seed: u64) -> Self {
        let instances = (0..count).map(|index| {
            let mut table = AllowanceTable::default();
            table.set_customers([(&customer(), limits)], at(0));
            Instance {
                id: format!("i{index}").parse().unwrap(),
                table,
                requested_at: 0,
                partition: 0..0,
            }
        });
        Self {
            instances: instances.collect(),
            limiter: RateLimiter::default(),
            limits,
            random: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            admitted: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn request(&mut self, index: usize, now: u64) {
        let count = self.instances.len();
        let instance = &mut self.instances[index];
        instance.requested_at = now;
        if instance.partition.contains(&now) || self.random.random_bool(self.loss) {
            return;
        }
        let spent = instance.table.reports(at(now));
        self.limiter.record_request(&instance.id, count, at(now));
        let grants: Vec<_> = spent
            .iter()
            .map(|report: &UsageReport| {
                self.limiter
                    .grant((&instance.id, 1), report, self.limits, at(now + 2))
            })
            .collect();
        if !self.random.random_bool(self.loss) {
            instance.table.apply_grants(&grants, at(now), at(now + 4));
        }
    }

    /// Sends `per_second` operations per second from `from` to `to`, most of them to the first
    /// instances.
    fn run(&mut self, from: u64, to: u64, per_second: f64) {
        let count = self.instances.len();
        for now in (from..to).step_by(STEP as usize) {
            for index in 0..count {
                if now >= self.instances[index].requested_at + REQUEST_INTERVAL {
                    self.request(index, now);
                }
            }
            let expected = per_second * STEP as f64 / 1_000.0;
            let mut arrivals = expected.floor() as usize;
            arrivals += usize::from(self.random.random_bool(expected.fract()));
            for _ in 0..arrivals {
                let first = self.random.random_range(0..count);
                let index = self.random.random_range(0..=first);
                self.operate(index, now);
            }
        }
    }

    fn operate(&mut self, index: usize, now: u64) {
        let count = self.instances.len();
        for attempt in 0..2 {
            let admitted = self.instances[index]
                .table
                .admit(&customer(), count, at(now + 5));
            match admitted {
                Ok(_) => return self.admitted.push(now),
                Err(RateRefusal::RequestMore) if attempt == 0 => self.request(index, now),
                Err(_) => break,
            }
        }
        self.refused.push(now);
    }

    fn most_in_window(&self) -> usize {
        let counts = self.admitted.iter().enumerate().map(|(index, start)| {
            let later = self.admitted[index..].iter();
            later.take_while(|time| **time < start + WINDOW).count()
        });
        counts.max().unwrap_or(0)
    }

    /// The target: the rate and burst of a window, plus 10 %, plus 20 operations.
    fn most_allowed(&self) -> usize {
        ((self.limits.rate * 5.0 + self.limits.burst) * 1.1 + 20.0) as usize
    }
}

const LARGE: CustomerRate = CustomerRate {
    rate: 127.0,
    burst: 127.0,
};
const SMALL: CustomerRate = CustomerRate {
    rate: 25.0,
    burst: 25.0,
};

#[test]
fn usual_traffic_is_never_refused() {
    for (count, limits) in [(7, LARGE), (75, SMALL)] {
        let mut fleet = Fleet::new(count, limits, 1);
        fleet.run(1_000, 31_000, limits.rate / 1.6);
        let refused = fleet.refused.iter().filter(|time| **time > 2_500).count();
        assert_eq!(refused, 0, "{count} instances");
    }
}

/// One customer sends seven to ten times its usual load, with and without message loss.
#[test]
fn a_flood_stays_within_the_rate() {
    for (count, limits) in [(7, LARGE), (75, SMALL)] {
        for seed in 0..20 {
            let mut fleet = Fleet::new(count, limits, seed);
            fleet.loss = if seed % 2 == 0 { 0.0 } else { 0.1 };
            fleet.run(1_000, 10_000, limits.rate / 1.6);
            let times = 7.0 + (seed % 4) as f64;
            fleet.run(10_000, 20_000, limits.rate / 1.6 * times);
            fleet.run(20_000, 25_000, limits.rate / 1.6);
            let (most, allowed) = (fleet.most_in_window(), fleet.most_allowed());
            assert!(
                most <= allowed,
                "{count} instances, seed {seed}: {most} of {allowed}"
            );
        }
    }
}

/// A customer that floods must still get most of its rate: the time with a negative bucket must
/// not cost more than the excess usage.
#[test]
fn a_flood_gets_most_of_the_rate() {
    let mut fleet = Fleet::new(7, LARGE, 3);
    fleet.run(1_000, 21_000, 800.0);
    let count = fleet
        .admitted
        .iter()
        .filter(|time| (6_000..21_000).contains(*time))
        .count();
    assert!(count as f64 > 0.9 * 15.0 * LARGE.rate, "{count}");
}

/// Two of seven instances are partitioned while the customer floods.
#[test]
fn isolated_instances_share_the_rate_without_exceeding_it() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(7, LARGE, seed);
        fleet.instances[0].partition = 8_000..18_000;
        fleet.instances[3].partition = 8_000..18_000;
        fleet.run(1_000, 9_000, 80.0);
        fleet.run(9_000, 20_000, 600.0);
        let (most, allowed) = (fleet.most_in_window(), fleet.most_allowed());
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
}

#[test]
fn an_isolated_instance_serves_its_share() {
    let mut fleet = Fleet::new(7, LARGE, 5);
    for instance in &mut fleet.instances {
        instance.partition = 8_000..18_000;
    }
    fleet.run(1_000, 18_000, 40.0);
    let count = fleet
        .admitted
        .iter()
        .filter(|time| (9_500..18_000).contains(*time))
        .count();
    assert!(count as f64 > 0.8 * 8.5 * 40.0, "{count}");
}

/// Callers are distributed unevenly: the first instances get most operations, even while all
/// instances are isolated.
#[test]
fn shares_follow_usage() {
    let mut fleet = Fleet::new(7, LARGE, 6);
    for instance in &mut fleet.instances {
        instance.partition = 10_000..18_000;
    }
    fleet.run(1_000, 18_000, 80.0);
    let in_partition = |times: &[u64]| {
        times
            .iter()
            .filter(|time| (11_000..18_000).contains(*time))
            .count()
    };
    let (admitted, refused) = (in_partition(&fleet.admitted), in_partition(&fleet.refused));
    assert!(
        refused * 20 < admitted,
        "{refused} refused, {admitted} admitted"
    );
}

#[test]
fn a_delayed_response_does_not_replace_a_newer_one() {
    let mut table = AllowanceTable::default();
    table.set_customers([(&customer(), LARGE)], at(0));
    let grant = |ceiling| mustardhinge_core::rate_limit::AllowanceGrant {
        customer: customer(),
        ceiling,
        share: 0,
        fill: 0,
        closed_ms: None,
    };
    table.apply_grants(&[grant(0)], at(200), at(210));
    table.apply_grants(&[grant(9)], at(100), at(220));
    assert_eq!(
        table.admit(&customer(), 7, at(230)),
        Err(RateRefusal::RequestMore)
    );
}

#[test]
fn a_grant_without_allowance_has_the_time_until_the_bucket_is_refilled() {
    let mut limiter = RateLimiter::default();
    let id: InstanceId = "i0".parse().unwrap();
    limiter.record_request(&id, 1, at(0));
    let report = |spent| UsageReport {
        customer: customer(),
        spent,
        last_fill: None,
        granted_fill: None,
        share: 0,
    };
    limiter.grant((&id, 1), &report(0), LARGE, at(0));
    let grant = limiter.grant((&id, 1), &report(200), LARGE, at(0));
    let closed = Duration::from_millis(grant.closed_ms.unwrap());
    assert_eq!(grant.ceiling, 200);
    assert!((500..650).contains(&closed.as_millis()), "{closed:?}");
}

#[test]
fn a_new_leader_does_not_count_earlier_usage() {
    let mut limiter = RateLimiter::default();
    let id: InstanceId = "i0".parse().unwrap();
    limiter.record_request(&id, 1, at(0));
    let report = UsageReport {
        customer: customer(),
        spent: 50_000,
        last_fill: None,
        granted_fill: None,
        share: 0,
    };
    let grant = limiter.grant((&id, 1), &report, LARGE, at(0));
    assert!(grant.ceiling > 50_000);
    assert_eq!(grant.closed_ms, None);
}

/// The leader changes repeatedly while a customer floods.
#[test]
fn new_leaders_continue_from_the_reported_bucket_levels() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(7, LARGE, seed);
        fleet.run(1_000, 10_000, 80.0);
        for change in 0..5 {
            let start = 10_000 + change * 2_000;
            fleet.run(start, start + 1_200, 600.0);
            for instance in &mut fleet.instances {
                instance.partition = start + 1_200..start + 2_000;
            }
            fleet.run(start + 1_200, start + 2_000, 600.0);
            fleet.limiter = RateLimiter::default();
        }
        let (most, allowed) = (fleet.most_in_window(), fleet.most_allowed());
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
}

/// There is no leader for two seconds, the duration of a leader change. At most a few operations
/// of a customer within its rate may be refused.
#[test]
fn a_change_of_leader_refuses_few_operations_within_the_rate() {
    let mut fleet = Fleet::new(7, LARGE, 8);
    fleet.run(1_000, 10_000, 70.0);
    for instance in &mut fleet.instances {
        instance.partition = 10_000..12_000;
    }
    fleet.run(10_000, 12_000, 70.0);
    fleet.limiter = RateLimiter::default();
    fleet.run(12_000, 16_000, 70.0);
    let refused = fleet.refused.iter().filter(|time| **time > 9_000).count();
    assert!(refused <= 4, "{refused} of 490");
}

/// All instances restart, and all callers reconnect at the same time.
#[test]
fn a_cold_start_serves_the_returning_callers() {
    let mut fleet = Fleet::new(10, LARGE, 9);
    fleet.run(1_000, 3_000, 100.0);
    let refused = fleet.refused.iter().filter(|time| **time > 1_500).count();
    assert!(refused <= 15, "{refused} of 150");
}

/// The limits are lowered while the leader is unreachable: an allowance granted under the old
/// limits must be reduced.
#[test]
fn lower_limits_reduce_the_remaining_allowance() {
    let high = CustomerRate {
        rate: 10_000.0,
        burst: 10_000.0,
    };
    let low = CustomerRate {
        rate: 1.0,
        burst: 1.0,
    };
    let mut table = AllowanceTable::default();
    let mut limiter = RateLimiter::default();
    let id: InstanceId = "i0".parse().unwrap();
    limiter.record_request(&id, 1, at(0));
    table.set_customers([(&customer(), high)], at(0));
    let grants = table.reports(at(0));
    let grants: Vec<_> = grants
        .iter()
        .map(|report| limiter.grant((&id, 1), report, high, at(0)))
        .collect();
    table.apply_grants(&grants, at(0), at(1));
    table.set_customers([(&customer(), low)], at(100));
    let admitted = (0..1_000)
        .filter(|_| table.admit(&customer(), 1, at(100)).is_ok())
        .count();
    // The rate and burst of a window, plus 10 %, plus 20 operations.
    assert!(admitted <= 26, "{admitted}");
}

/// Immediate requests contain only customers with an exhausted allowance, so that they stay small
/// for any number of customers.
#[test]
fn immediate_requests_contain_only_exhausted_allowances() {
    let customers: Vec<CustomerId> = (0..50)
        .map(|index| format!("c{index}").parse().unwrap())
        .collect();
    let mut table = AllowanceTable::default();
    table.set_customers(customers.iter().map(|customer| (customer, SMALL)), at(0));
    let grants: Vec<_> = customers
        .iter()
        .map(|customer| mustardhinge_core::rate_limit::AllowanceGrant {
            customer: customer.clone(),
            ceiling: 2,
            share: 0,
            fill: 10,
            closed_ms: None,
        })
        .collect();
    table.apply_grants(&grants, at(10), at(12));
    for _ in 0..2 {
        table.admit(&customers[7], 3, at(100)).unwrap();
    }
    table.admit(&customers[8], 3, at(100)).unwrap();
    let reports = table.exhausted_reports(at(101));
    assert_eq!(reports.len(), 1);
    assert_eq!((&reports[0].customer, reports[0].spent), (&customers[7], 2));
    assert!(
        table.exhausted_reports(at(400)).is_empty(),
        "no operation is waiting"
    );
}

/// Returns the minimum time for a thousand reports, which alternate among `count` instances.
fn time_of_reports(count: u64) -> Duration {
    let mut limiter = RateLimiter::default();
    let ids: Vec<InstanceId> = (0..count)
        .map(|index| format!("i{index}").parse().unwrap())
        .collect();
    let report = |spent| UsageReport {
        customer: customer(),
        spent,
        last_fill: None,
        granted_fill: None,
        share: 0,
    };
    for (index, id) in (0..).zip(&ids) {
        limiter.record_request(id, ids.len(), at(index % 500));
        limiter.grant((id, 1), &report(0), LARGE, at(index % 500));
    }
    let batches = (0..20).map(|batch| {
        let begin = std::time::Instant::now();
        for index in 0..1_000 {
            let id = &ids[index % ids.len()];
            let now = at(500 + batch * 10);
            limiter.record_request(id, ids.len(), now);
            limiter.grant((id, 1), &report(batch), LARGE, now);
        }
        begin.elapsed()
    });
    batches.min().unwrap()
}

/// One leader handles the reports of all instances: the cost of a report must not grow with their
/// number.
#[test]
fn a_report_costs_the_same_among_many_instances() {
    let few = time_of_reports(30);
    let many = time_of_reports(3_000);
    assert!(many < 10 * few, "30 instances {few:?}, 3,000 {many:?}");
}

/// An isolated instance may use its share for a limited time and far less afterwards; the leader
/// must then grant the rest to the other instances.
#[test]
fn the_share_of_a_lost_instance_returns_to_the_others() {
    let mut limiter = RateLimiter::default();
    let ids: Vec<InstanceId> = ["gone", "stays"].map(|id| id.parse().unwrap()).to_vec();
    let report = |spent| UsageReport {
        customer: customer(),
        spent,
        last_fill: None,
        granted_fill: None,
        share: 0,
    };
    let mut spent = 0;
    for step in 0..20 {
        spent += 50;
        for id in &ids {
            limiter.record_request(id, 2, at(step * 500));
        }
        limiter.grant((&ids[0], 1), &report(spent), LARGE, at(step * 500));
        limiter.grant((&ids[1], 1), &report(0), LARGE, at(step * 500));
    }
    let earned = |limiter: &mut RateLimiter, from: u64| {
        limiter.record_request(&ids[1], 2, at(from));
        let before = limiter
            .grant((&ids[1], 1), &report(0), LARGE, at(from))
            .fill;
        limiter.record_request(&ids[1], 2, at(from + 1_000));
        let after = limiter.grant((&ids[1], 1), &report(0), LARGE, at(from + 1_000));
        after.fill - before
    };
    let second = LARGE.rate as i64;
    let early = earned(&mut limiter, 10_500);
    assert!(early < second / 3, "{early} of {second}");
    // Overuse, so that the bucket is not full.
    spent = 2 * LARGE.burst as u64;
    limiter.grant((&ids[1], 1), &report(spent), LARGE, at(30_000));
    let late = {
        limiter.record_request(&ids[1], 2, at(30_100));
        let before = limiter.grant((&ids[1], 1), &report(spent), LARGE, at(30_100));
        limiter.record_request(&ids[1], 2, at(31_100));
        let after = limiter.grant((&ids[1], 1), &report(spent), LARGE, at(31_100));
        after.fill - before.fill
    };
    assert!(late >= second * 8 / 10, "{late} of {second}");
}

/// A count that the leader has acknowledged must not be reported again, however recently it
/// changed. Unacknowledged counts, and all counts after a leader change, are reported again.
#[test]
fn only_unacknowledged_counts_are_reported() {
    let mut table = AllowanceTable::default();
    let mut limiter = RateLimiter::default();
    let id: InstanceId = "i0".parse().unwrap();
    limiter.record_request(&id, 1, at(0));
    table.set_customers([(&customer(), LARGE)], at(0));
    let mut request = |table: &mut AllowanceTable, now: u64, is_acknowledged: bool| {
        let reports = table.reports(at(now));
        if is_acknowledged {
            let grants: Vec<_> = reports
                .iter()
                .map(|report| limiter.grant((&id, 1), report, LARGE, at(now)))
                .collect();
            table.apply_grants(&grants, at(now), at(now + 1));
        }
        reports.len()
    };
    assert_eq!(request(&mut table, 0, true), 1);
    assert_eq!(request(&mut table, 500, true), 0);
    table.admit(&customer(), 1, at(600)).unwrap();
    assert_eq!(request(&mut table, 1_000, false), 1);
    assert_eq!(request(&mut table, 1_500, true), 1);
    assert_eq!(request(&mut table, 2_000, true), 0);
    table.resend_all();
    assert_eq!(request(&mut table, 2_100, true), 1);
    while table.admit(&customer(), 1, at(2_200)).is_ok() {}
    assert_eq!(request(&mut table, 2_500, false), 1);
}

/// Returns the minimum time for the reports of one instance on 70 customers while `silent` other
/// instances are unreachable.
fn time_among_silent(silent: usize) -> Duration {
    let limits = CustomerRate {
        rate: 20.0,
        burst: 20.0,
    };
    let mut limiter = RateLimiter::default();
    for index in 0..silent {
        let id: InstanceId = format!("i{index}").parse().unwrap();
        limiter.record_request(&id, silent, at(0));
    }
    let requester: InstanceId = "requester".parse().unwrap();
    let customers: Vec<CustomerId> = (0..70)
        .map(|index| format!("c{index}").parse().unwrap())
        .collect();
    let rounds = (1..=20_u64).map(|round| {
        let now = at(1_000 + round);
        let begin = std::time::Instant::now();
        limiter.record_request(&requester, silent, now);
        for customer in &customers {
            let report = UsageReport {
                customer: customer.clone(),
                spent: round,
                last_fill: None,
                granted_fill: None,
                share: 0,
            };
            limiter.grant((&requester, 1), &report, limits, now);
        }
        begin.elapsed()
    });
    rounds.min().unwrap()
}

/// After the loss of all instances, a new leader has received requests from few of hundreds of
/// instances: the cost of a grant must not grow with the number of unreachable instances.
#[test]
fn a_grant_costs_the_same_with_many_unreachable_instances() {
    let few = time_among_silent(5);
    let many = time_among_silent(3_000);
    assert!(many < 10 * few, "5 silent {few:?}, 3,000 silent {many:?}");
}
