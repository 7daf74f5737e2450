//! Customers' rates over all instances.

use std::time::Duration;

use mustardhinge_core::prelude::{CustomerId, InstanceId, MonotonicTime};
use mustardhinge_core::rate_limit::{
    AllowanceTable, CustomerRate, RateLimiter, RateRefusal, UsageReport,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// The window of the stated target, in milliseconds.
const WINDOW: u64 = 5_000;
/// Time of a simulated step.
const STEP: u64 = 10;
/// Pause between two regular asks.
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

/// A fleet whose messages arrive in the next step, or are lost.
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

    /// Sends `per_second` operations from `from` to `to`, the first instances getting most.
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
                Ok(()) => return self.admitted.push(now),
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

    /// The stated target: rate and burst of a window, a tenth more, and twenty.
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

/// One customer sends seven to ten times its usual, also while messages are lost.
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

/// A flooded customer gets what it may have: lateness is paid back, not lost.
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

/// Two of seven instances are cut off while the customer floods.
#[test]
fn instances_that_are_cut_off_share_the_rate_without_exceeding_it() {
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
fn an_instance_that_is_cut_off_serves_its_part() {
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

/// Callers are spread unevenly: the first instances get most, also while all are cut off.
#[test]
fn parts_go_by_what_was_spent() {
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
fn an_answer_that_overtook_another_is_not_undone() {
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
fn a_refusal_says_when_the_debt_is_paid() {
    let mut limiter = RateLimiter::default();
    let id: InstanceId = "i0".parse().unwrap();
    limiter.record_request(&id, 1, at(0));
    let report = |spent| UsageReport {
        customer: customer(),
        spent,
        last_fill: None,
    };
    limiter.grant((&id, 1), &report(0), LARGE, at(0));
    let grant = limiter.grant((&id, 1), &report(200), LARGE, at(0));
    let closed = Duration::from_millis(grant.closed_ms.unwrap());
    assert_eq!(grant.ceiling, 200);
    assert!((500..650).contains(&closed.as_millis()), "{closed:?}");
}

#[test]
fn a_new_holder_does_not_count_what_was_spent_before_it() {
    let mut limiter = RateLimiter::default();
    let id: InstanceId = "i0".parse().unwrap();
    limiter.record_request(&id, 1, at(0));
    let report = UsageReport {
        customer: customer(),
        spent: 50_000,
        last_fill: None,
    };
    let grant = limiter.grant((&id, 1), &report, LARGE, at(0));
    assert!(grant.ceiling > 50_000);
    assert_eq!(grant.closed_ms, None);
}

/// The holder changes while a customer floods, again and again.
#[test]
fn new_holders_go_on_from_what_the_instances_remember() {
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

/// The holder is out for two seconds, as long as the duty takes to move.
#[test]
fn a_change_of_holder_refuses_nobody_who_is_within_the_rate() {
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

/// All instances start anew, and all callers come back at once.
#[test]
fn a_cold_start_serves_the_returning_callers() {
    let mut fleet = Fleet::new(10, LARGE, 9);
    fleet.run(1_000, 3_000, 100.0);
    let refused = fleet.refused.iter().filter(|time| **time > 1_500).count();
    assert!(refused <= 15, "{refused} of 150");
}

/// The limits fall while the holder is out of reach: what it allowed under the old ones
/// must not outlast them.
#[test]
fn lower_limits_shrink_what_was_allowed_before() {
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
    // Rate and burst of a window, a tenth more, and twenty.
    assert!(admitted <= 26, "{admitted}");
}

/// Only those whose allowance is used up are asked for in between, so that the question stays
/// small however many customers there are.
#[test]
fn only_used_up_allowances_are_asked_for_at_once() {
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
        "nobody waits any more"
    );
}

/// Returns the least time for a thousand reports, each by another of `count` instances.
fn time_of_reports(count: u64) -> Duration {
    let mut limiter = RateLimiter::default();
    let ids: Vec<InstanceId> = (0..count)
        .map(|index| format!("i{index}").parse().unwrap())
        .collect();
    let report = |spent| UsageReport {
        customer: customer(),
        spent,
        last_fill: None,
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

/// One holder answers all instances: a report must not cost more the more of them there are.
#[test]
fn a_report_costs_the_same_among_many_instances() {
    let few = time_of_reports(30);
    let many = time_of_reports(3_000);
    assert!(many < 10 * few, "30 instances {few:?}, 3,000 {many:?}");
}

/// An instance that was cut off spends its part alone for a while; what it may spend later on is
/// far less, and the rest goes back to the others.
#[test]
fn the_part_of_an_instance_that_is_gone_goes_back_to_the_others() {
    let mut limiter = RateLimiter::default();
    let ids: Vec<InstanceId> = ["gone", "stays"].map(|id| id.parse().unwrap()).to_vec();
    let report = |spent| UsageReport {
        customer: customer(),
        spent,
        last_fill: None,
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
    // A debt, so that the bucket is not full.
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

/// Counts that the holder has answered stay out of the next question, however lately they
/// changed; what it has not answered, and all of them for another holder, are told again.
#[test]
fn only_what_the_holder_does_not_know_is_reported() {
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

/// Returns the least time for the reports of one instance on 70 customers, to a book that has not
/// heard from `silent` others for a while.
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
            };
            limiter.grant((&requester, 1), &report, limits, now);
        }
        begin.elapsed()
    });
    rounds.min().unwrap()
}

/// After a loss of all instances a new leader has heard few of hundreds: an answer must not cost
/// more for those that it waits for.
#[test]
fn an_answer_costs_the_same_whoever_is_silent() {
    let few = time_among_silent(5);
    let many = time_among_silent(3_000);
    assert!(many < 10 * few, "5 silent {few:?}, 3,000 silent {many:?}");
}
