//! The rules by which a target that fails some statements gets a reduced share, and the rules of
//! evidence of effective slots.

use mustardhinge_core::overload::{FailureTable, ObservedCapacity, ReductionLimits};
use mustardhinge_core::prelude::*;

const AMPLE: ReductionLimits = ReductionLimits {
    zone_targets: 12,
    group_targets: 3,
};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn id<T: std::str::FromStr>(name: &str) -> T {
    name.parse().ok().unwrap()
}

#[derive(Default)]
struct Records(FailureTable);

impl Records {
    /// Records `count` statements of a customer, of which every `fails_every`-th fails (none if 0).
    /// Returns whether the target's share is reduced.
    fn run(
        &mut self,
        (service, target, limits): (&str, &str, ReductionLimits),
        customer: &str,
        (count, fails_every): (u64, u64),
    ) -> bool {
        let (service, target): (ServiceId, TargetId) = (id(service), id(target));
        let (zone, customer): (ZoneId, CustomerId) = (id("north"), id(customer));
        let place = (&service, &target);
        for number in 1..=count {
            if fails_every > 0 && number % fails_every == 0 {
                self.0
                    .record_failed(place, &zone, (&customer, || limits), at(number));
            } else {
                self.0.record_served(place, &zone, &customer, at(number));
            }
        }
        self.0.share(place, at(count)) < 1.0
    }

    /// Makes a target of a group with sound peers fail a third of its statements.
    fn fail_third(&mut self, service: &str, target: &str, limits: ReductionLimits) -> bool {
        let customers = [1, 2].map(|number| format!("{target}-{number}"));
        self.run((service, "peer", limits), &customers[0], (40, 0));
        self.run((service, target, limits), &customers[0], (12, 3));
        self.run((service, target, limits), &customers[1], (12, 3))
    }
}

/// Guards against the reduction of a target that customers with failing statements prefer, and of
/// one that fails for one customer only.
#[test]
fn customers_whose_statements_fail_count_against_no_target() {
    let mut records = Records::default();
    records.run(("s", "peer", AMPLE), "c1", (40, 0));
    for customer in ["bad-1", "bad-2", "bad-3"] {
        records.run(("s", "peer", AMPLE), customer, (1, 1));
        assert!(!records.run(("s", "preferred", AMPLE), customer, (8, 1)));
        let elsewhere_unseen = format!("{customer}-x");
        assert!(!records.run(("s", "alone", AMPLE), &elsewhere_unseen, (8, 1)));
    }
    assert!(!records.run(("s", "other", AMPLE), "c1", (30, 3)));
    assert!(records.run(("s", "other", AMPLE), "c2", (12, 3)));
}

/// Guards against reductions while all targets of a group fail alike.
#[test]
fn failures_at_all_targets_reduce_none() {
    let mut records = Records::default();
    for round in 0..30 {
        for target in ["a", "b", "c"] {
            let customer = format!("{target}-{}", round % 5);
            assert!(!records.run(("s", target, AMPLE), &customer, (3, 3)));
        }
    }
}

/// Guards against a comparison that counts a customer's failures at the target but not at its peers:
/// each customer has a failed read at one of two targets and a served one at the other.
#[test]
fn failures_at_the_peers_count_if_the_target_serves_the_customer() {
    let mut records = Records::default();
    for number in 0..24 {
        for (failing, serving) in [("a", "b"), ("b", "a")] {
            let customer = format!("{failing}-{number}");
            records.run(("s", serving, AMPLE), &customer, (1, 0));
            assert!(!records.run(("s", failing, AMPLE), &customer, (1, 1)));
        }
    }
}

/// Guards against reduced shares for more than a third of a zone, or for the last target of a group
/// that has its full one.
#[test]
fn the_number_of_reduced_targets_is_limited() {
    let limits = |zone_targets, group_targets| ReductionLimits {
        zone_targets,
        group_targets,
    };
    let mut records = Records::default();
    assert!(!records.fail_third("s1", "a", limits(2, 2)));
    assert!(records.fail_third("s1", "a", limits(6, 3)));
    assert!(records.fail_third("s2", "a", limits(6, 3)));
    assert!(!records.fail_third("s3", "a", limits(6, 3)));
    let mut records = Records::default();
    assert!(records.fail_third("s", "a", limits(30, 2)));
    assert!(!records.fail_third("s", "b", limits(30, 2)));
    assert!(records.fail_third("s", "b", limits(30, 3)));
}

/// Guards against evidence that is kept for longer than 10 s or after a restart.
#[test]
fn evidence_of_failures_expires() {
    let mut records = Records::default();
    assert!(records.fail_third("s", "a", AMPLE));
    let (service, target): (ServiceId, TargetId) = (id("s"), id("a"));
    let place = (&service, &target);
    assert!(records.0.share(place, at(9_000)) < 1.0);
    assert!(records.0.share(place, at(10_100)) >= 1.0);
    records.0.remove(place);
    assert!(records.0.share(place, at(13)) >= 1.0);
}

/// Guards against targets that are kept for good after they have left.
#[test]
fn targets_without_recent_reads_are_dropped() {
    let mut records = Records::default();
    records.run(("s1", "gone", AMPLE), "c1", (40, 3));
    records.run(("s2", "a", AMPLE), "c1", (9_000, 3));
    assert_eq!(records.0.known_targets(), 2);
    records.run(("s2", "a", AMPLE), "c1", (11_100, 0));
    assert_eq!(records.0.known_targets(), 1);
}

/// Guards against a scan of all targets with each failed read.
#[test]
fn limits_are_determined_for_reductions_only() {
    let (service, target): (ServiceId, TargetId) = (id("s"), id("a"));
    let (zone, place) = (id("north"), (&service, &target));
    let (mut records, mut calls) = (Records::default(), 0);
    records.run(("s", "peer", AMPLE), "c1", (40, 0));
    let mut is_reduced = false;
    for number in 0..40 {
        let customer: CustomerId = id(["c1", "c2"][number as usize % 2]);
        let table = &mut records.0;
        table.record_served(place, &zone, &customer, at(40 + number));
        let limits = || {
            calls += 1;
            AMPLE
        };
        is_reduced |= table.record_failed(place, &zone, (&customer, limits), at(40 + number));
    }
    assert!(is_reduced);
    assert_eq!(calls, 1);
}

/// Guards against a target that is never given a statement, one that keeps a limit for good, and a
/// limit that rises while statements are shed.
#[test]
fn effective_slots_rise_by_probing() {
    let mut capacity = ObservedCapacity::new(5);
    capacity.record_shed(1, at(0));
    assert_eq!(capacity.slots(at(0)), 1);
    capacity.record_completed(at(499));
    assert_eq!(capacity.slots(at(499)), 1);
    for (now, slots) in [
        (500, 2),
        (600, 2),
        (750, 3),
        (1_000, 4),
        (1_250, 5),
        (1_500, 5),
    ] {
        capacity.record_completed(at(now));
        assert_eq!(capacity.slots(at(now)), slots, "at {now} ms");
    }
    // On an instance with few statements, one that is completed shows that the target runs them again.
    capacity.record_shed(2, at(1_600));
    assert_eq!(capacity.slots(at(1_999)), 1);
    capacity.record_completed(at(2_100));
    assert_eq!(capacity.slots(at(2_600)), 4);
    capacity.record_shed(4, at(2_600));
    assert_eq!(capacity.slots(at(2_600)), 3);
    capacity.record_completed(at(3_100));
    assert_eq!(capacity.slots(at(4_600)), 5);
    let mut capacity = ObservedCapacity::new(5);
    capacity.record_shed(9, at(2_000));
    assert_eq!(capacity.slots(at(2_000)), 5);
    capacity.record_shed(3, at(2_000));
    assert_eq!(capacity.slots(at(11_999)), 2);
    assert_eq!(capacity.slots(at(12_000)), 5);
}
