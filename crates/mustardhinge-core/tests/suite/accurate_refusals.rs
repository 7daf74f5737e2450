//! Labels and retry delays of refusals, and operations returned to a replaced bucket.

use std::time::Duration;

use mustardhinge_core::overload::OverloadControl;
use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{
    CustomerWeight, DepartureCause, PriorityItem, PriorityQueue, PushOutcome, QueueLimits, SlotCost,
};
use mustardhinge_core::rate_limit::{
    AllowanceGrant, AllowanceSource, AllowanceTable, CustomerRate,
};

const LIMITS: CustomerRate = CustomerRate {
    rate: 10.0,
    burst: 10.0,
};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn item(priority: u8) -> PriorityItem<()> {
    PriorityItem {
        customer: "seeb".parse().unwrap(),
        weight: CustomerWeight::LOWEST,
        priority: RoutePriority::new(priority),
        admit_by: at(1_000),
        deadline: at(1_000),
        cost: SlotCost::new(millis(10)),
        item: (),
    }
}

/// Guards against an expired statement that is counted as one that made room for another.
#[test]
fn an_expired_statement_is_not_counted_as_displaced() {
    let mut queue = PriorityQueue::new(QueueLimits::new().capacity(1).slots(1));
    queue.push(item(1), at(0));
    let PushOutcome::Queued { displaced, .. } = queue.push(item(0), at(0)) else {
        panic!("refused");
    };
    let displaced = DepartureCause::from(displaced.unwrap().reason);
    assert_eq!(displaced.label(), "displaced");
    let expired = queue.pop_expired(at(1_001)).unwrap();
    let expired = DepartureCause::from(expired.reason);
    assert_eq!(expired.label(), "deadline_passed");
}

fn customer() -> CustomerId {
    "seeb".parse().unwrap()
}

fn table() -> AllowanceTable {
    let mut table = AllowanceTable::default();
    table.set_overload_control(OverloadControl::On);
    table.set_customers([(&customer(), LIMITS)], at(0));
    table
}

/// Answers the request of `requested_at`, with the whole share of the rate.
fn grant(table: &mut AllowanceTable, requested_at: u64, now: u64) {
    let grant = AllowanceGrant {
        customer: customer(),
        ceiling: 0,
        share: 1_000_000,
        fill: 0,
        closed_ms: None,
    };
    table.apply_grants(&[grant], at(requested_at), at(now));
}

/// Guards against a caller that is told to come back far later than the leader's response, or
/// while none is expected yet.
#[test]
fn the_delay_is_the_time_until_the_response_as_measured() {
    let mut table = table();
    assert_eq!(table.time_until_response(at(0)), millis(100));
    for sent in [1_000, 1_100] {
        table.exhausted_reports(at(sent));
        grant(&mut table, sent, sent + 12);
    }
    assert_eq!(table.time_until_response(at(1_150)), millis(12));
    table.exhausted_reports(at(1_200));
    assert_eq!(table.time_until_response(at(1_205)), millis(7));
    // An overdue response is lost, so that the next one can't be told from it.
    assert_eq!(table.time_until_response(at(1_300)), millis(100));
    grant(&mut table, 1_200, 1_900);
    assert_eq!(table.time_until_response(at(2_000)), millis(100));
}

/// Guards against an operation that is returned to a bucket which it was never taken from: a
/// window would then admit more than its bound.
#[test]
fn a_replaced_bucket_takes_nothing_back() {
    let admit_all = |table: &mut AllowanceTable, now| {
        let admitted = std::iter::from_fn(|| table.admit(&customer(), 1, at(now)).ok());
        admitted.collect::<Vec<AllowanceSource>>()
    };
    for is_replaced in [false, true] {
        let mut table = table();
        grant(&mut table, 0, 0);
        let sources = admit_all(&mut table, 1_000);
        if is_replaced {
            grant(&mut table, 1_010, 1_010);
            assert!(!admit_all(&mut table, 2_010).is_empty());
        }
        table.release(&customer(), sources[0]);
        let now = if is_replaced { 2_010 } else { 1_000 };
        let returned = admit_all(&mut table, now).len();
        assert_eq!(returned, usize::from(!is_replaced));
    }
}
