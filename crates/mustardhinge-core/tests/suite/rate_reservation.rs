//! Shares that a new leader reserves for instances from which it has not received a request.

use mustardhinge_core::overload::OverloadControl;
use mustardhinge_core::prelude::{CustomerId, InstanceId, MonotonicTime};
use mustardhinge_core::rate_limit::{AllowanceGrant, CustomerRate, RateLimiter, UsageReport};

/// Number of instances that the earlier leader had.
const INSTANCES: usize = 10;
/// Number of instances that reach the new leader.
const HEARD: usize = 4;
const LIMITS: CustomerRate = CustomerRate {
    rate: 100.0,
    burst: 100.0,
};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn instance(index: usize) -> InstanceId {
    format!("i{index}").parse().unwrap()
}

fn limiter() -> RateLimiter {
    let mut limiter = RateLimiter::default();
    limiter.set_overload_control(OverloadControl::On);
    limiter
}

/// An instance's report. With a `level` of the earlier leader, it has a tenth of the rate.
fn report(spent: u64, level: Option<i64>) -> UsageReport {
    let customer: CustomerId = "c".parse().unwrap();
    UsageReport {
        customer,
        spent,
        last_fill: level,
        granted_fill: level,
        share: level.map_or(0, |_| 100_000),
    }
}

/// Sends a request of an instance, for a leader whose list has `listed` instances.
fn request(
    limiter: &mut RateLimiter,
    (index, listed): (usize, usize),
    report: &UsageReport,
    now: u64,
) -> AllowanceGrant {
    let id = instance(index);
    limiter.record_request(&id, listed, at(now));
    limiter.grant((&id, 1), report, LIMITS, at(now))
}

/// Returns by how much the bucket is refilled in the second after `from`, from an exhausted one.
fn refill(limiter: &mut RateLimiter, listed: usize, from: u64) -> i64 {
    let spent = from;
    let before = request(limiter, (0, listed), &report(spent, Some(0)), from).fill;
    let mut last = before;
    for step in 1..=10 {
        let now = from + step * 100;
        for index in 1..HEARD {
            limiter.record_request(&instance(index), listed, at(now));
        }
        last = request(limiter, (0, listed), &report(spent, Some(0)), now).fill;
    }
    last - before
}

/// Lets `heard` instances report to a new leader, which the list of its predecessor is known to.
fn take_over(limiter: &mut RateLimiter, heard: usize, level: Option<i64>) -> Vec<AllowanceGrant> {
    let indices = 0..heard;
    indices
        .map(|index| request(limiter, (index, INSTANCES), &report(0, level), 100))
        .collect()
}

/// Guards against a rate that is granted to the instances on one side of a partition while those on
/// the other one still use the shares of an earlier leader.
#[test]
fn a_new_leader_grants_only_the_reported_part_of_a_rate() {
    let mut limiter = limiter();
    let grants = take_over(&mut limiter, HEARD, Some(80));
    let shares: u32 = grants.iter().map(|grant| grant.share).sum();
    assert!(shares <= 410_000, "{shares} millionths");
    // Four tenths of the full bucket.
    let level = request(&mut limiter, (0, INSTANCES), &report(0, Some(80)), 1_500).fill;
    assert!((38..=42).contains(&level), "{level}");
    // The list of the new leader loses the instances that it can't reach.
    for (listed, from) in [(INSTANCES, 2_000), (HEARD, 5_000), (HEARD, 12_000)] {
        let refilled = refill(&mut limiter, listed, from);
        assert!((38..=42).contains(&refilled), "{refilled} after {from} ms");
    }
}

/// Guards against a rate that stays reserved after the shares of the earlier leader have expired.
#[test]
fn the_reservation_ends_with_the_shares_of_the_earlier_leader() {
    let mut limiter = limiter();
    take_over(&mut limiter, HEARD, Some(80));
    let refilled = refill(&mut limiter, HEARD, 16_200);
    assert!((98..=102).contains(&refilled), "{refilled}");
}

/// Guards against refusals after a change of leader that reaches all instances, and after a start
/// of all instances, when there are no shares of an earlier leader.
#[test]
fn nothing_is_reserved_without_unreported_instances_or_an_earlier_leader() {
    let unknown = {
        let mut limiter = RateLimiter::without_predecessor();
        limiter.set_overload_control(OverloadControl::On);
        limiter
    };
    let cases = [
        ("all instances report", limiter(), INSTANCES, Some(80)),
        ("all instances have started", limiter(), HEARD, None),
        ("the leader has just started", unknown, HEARD, Some(80)),
    ];
    for (what, mut limiter, heard, level) in cases {
        take_over(&mut limiter, heard, level);
        // Keeps the instances reachable.
        for index in 0..heard {
            limiter.record_request(&instance(index), INSTANCES, at(2_000));
        }
        let spent = 10_000;
        let before = request(&mut limiter, (0, INSTANCES), &report(spent, level), 2_000);
        let after = request(&mut limiter, (0, INSTANCES), &report(spent, level), 2_500);
        let refilled = after.fill - before.fill;
        assert!((48..=52).contains(&refilled), "{what}: {refilled}");
    }
}
