//! Operations that were admitted and refused before they were sent to a target.

use mustardhinge_core::overload::OverloadControl;
use mustardhinge_core::prelude::{CustomerId, InstanceId, MonotonicTime};
use mustardhinge_core::rate_limit::{AllowanceTable, CustomerRate, RateLimiter};

/// Limits of the customer, whose callers begin half of it.
const LIMITS: CustomerRate = CustomerRate {
    rate: 20.0,
    burst: 20.0,
};
/// Attempts of each operation: the first one and two retries.
const ATTEMPTS: u32 = 3;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn customer() -> CustomerId {
    "driver".parse().unwrap()
}

/// An instance and the leader that grants its allowances.
struct Pair {
    instance: InstanceId,
    table: AllowanceTable,
    limiter: RateLimiter,
}

impl Pair {
    fn new() -> Self {
        let mut table = AllowanceTable::default();
        table.set_overload_control(OverloadControl::On);
        table.set_customers([(&customer(), LIMITS)], at(0));
        let mut limiter = RateLimiter::default();
        limiter.set_overload_control(OverloadControl::On);
        let instance = "i-1".parse().unwrap();
        Self {
            instance,
            table,
            limiter,
        }
    }

    fn exchange(&mut self, now: u64) {
        let mut reports = self.table.reports(at(now));
        if reports.is_empty() {
            reports = self.table.exhausted_reports(at(now));
        }
        self.limiter.record_request(&self.instance, 1, at(now));
        let requester = (&self.instance, 1);
        let grants: Vec<_> = reports
            .iter()
            .map(|report| self.limiter.grant(requester, report, LIMITS, at(now)))
            .collect();
        self.table.apply_grants(&grants, at(now), at(now));
    }
}

/// Counts the attempts refused for the rate while each operation is refused unsent until its last
/// attempt, for ten seconds.
fn count_rate_refusals(releases: bool) -> u32 {
    let mut pair = Pair::new();
    let mut refused = 0;
    // The first operation only tells the leader of the customer.
    let _ = pair.table.admit(&customer(), 1, at(1));
    pair.exchange(2);
    for now in (100..10_000_u64).step_by(100) {
        for attempt in 1..=ATTEMPTS {
            match pair.table.admit(&customer(), 1, at(now)) {
                Ok(source) if releases && attempt < ATTEMPTS => {
                    pair.table.release(&customer(), source);
                }
                Ok(_) => {}
                Err(_) => refused += 1,
            }
        }
        pair.exchange(now + 50);
    }
    refused
}

/// Guards against a customer within its rate that is refused for its rate, because attempts
/// without a target count as well.
#[test]
fn attempts_that_were_not_sent_do_not_use_up_the_rate() {
    assert_eq!(count_rate_refusals(true), 0);
    let without = count_rate_refusals(false);
    assert!(without > 50, "the load doesn't exceed the rate: {without}");
}

/// Guards against a count that falls below a reported one: the leader would grant too much.
#[test]
fn a_reported_operation_is_not_returned() {
    let mut pair = Pair::new();
    let _ = pair.table.admit(&customer(), 1, at(1));
    pair.exchange(2);
    let source = pair.table.admit(&customer(), 1, at(10)).unwrap();
    let reported = pair.table.reports(at(20))[0].spent;
    pair.table.release(&customer(), source);
    let _ = pair.table.admit(&customer(), 1, at(25));
    let spent = pair.table.reports(at(30))[0].spent;
    assert!(spent > reported, "{spent} after {reported}");
}
