//! Previews of decisions give what the decision then is, in random states, and change nothing.

use std::time::Duration;

use mustardhinge_core::overload::OverloadControl;
use mustardhinge_core::placement::{
    PlacementCandidate, SpreadCandidate, SpreadLimits, SpreadPlacement, SpreadRange,
};
use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{
    CustomerWeight, FairQueue, PriorityItem, PriorityQueue, PriorityWaits, PushOutcome,
    QueueLimits, ReportDecision, ReportGate, SlotCost, WaitingItem,
};
use mustardhinge_core::rate_limit::{AllowanceGrant, AllowanceTable, CustomerRate};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn customer(index: u8) -> CustomerId {
    format!("c{index}").parse().unwrap()
}

/// Returns the retry delay of a refused item.
fn refused_after<T>(outcome: PushOutcome<T>) -> Option<RetryDelay> {
    match outcome {
        PushOutcome::Queued { .. } => None,
        PushOutcome::Refused(refusal) => Some(refusal.retry_after),
    }
}

fn priority_item((index, priority, allowed, cost): (u8, u8, u64, u64)) -> PriorityItem<()> {
    PriorityItem {
        customer: customer(index),
        weight: CustomerWeight::from_rate(f64::from(index) * 10.0 + 1.0),
        priority: RoutePriority::new(priority),
        admit_by: at(1_000 + allowed),
        deadline: at(1_000 + allowed * 4 / 3),
        cost: SlotCost::new(Duration::from_millis(cost)),
        item: (),
    }
}

fn candidate((in_flight, slots, age, flags): (usize, usize, u64, u8)) -> SpreadCandidate {
    SpreadCandidate {
        target: PlacementCandidate {
            is_primary: flags & 1 != 0,
            is_same_zone: flags & 2 != 0,
            is_leaving: flags & 28 == 28,
            is_failing: flags & 96 == 96,
            lacks_position: false,
            is_too_stale: flags & 160 == 160,
            in_flight,
            slots,
            typical_latency: Duration::from_millis(20),
            has_connection: flags & 8 != 0,
        },
        age: Duration::from_millis(age),
        is_silent: false,
    }
}

proptest! {
    /// Guards against a preview that differs from the admission, or that uses the allowance.
    #[test]
    fn an_allowance_is_previewed_as_it_is_admitted(
        is_on in any::<bool>(),
        steps in prop::collection::vec((0_u64..400, 0_u64..6, prop::option::of(0_u64..300)), 1..60),
    ) {
        let overload = if is_on { OverloadControl::On } else { OverloadControl::Off };
        let mut table = AllowanceTable::starting_at(at(1_000));
        table.set_overload_control(overload);
        let limits = CustomerRate { rate: 20.0, burst: 10.0 };
        table.set_customers([(&customer(0), limits)], at(1_000));
        let mut now = 1_000;
        let mut ceiling = 0;
        for (elapsed, more, closed_ms) in steps {
            now += elapsed;
            if more < 3 {
                ceiling += more;
                let grant = AllowanceGrant {
                    customer: customer(0),
                    ceiling,
                    share: 400_000,
                    fill: 5 - more as i64 * 3,
                    closed_ms,
                };
                table.apply_grants(&[grant], at(now.saturating_sub(more * 300)), at(now));
            }
            let before = format!("{table:?}");
            let preview = table.preview(&customer(0), (overload, 4), at(now));
            prop_assert_eq!(format!("{:?}", &table), before);
            let admitted = table.admit(&customer(0), 4, at(now));
            prop_assert_eq!(preview.admitted, admitted);
        }
    }

    /// Guards against a preview of the queue with priorities that differs from its decision.
    #[test]
    fn a_queue_with_priorities_is_previewed_as_it_decides(
        capacity in 1_usize..8,
        items in prop::collection::vec((0_u8..4, 0_u8..3, 0_u64..200, 1_u64..60), 1..60),
    ) {
        let mut queue = PriorityQueue::new(QueueLimits::new().capacity(capacity).slots(2));
        for item in items {
            let is_served = item.3 % 3 == 0;
            let item = priority_item(item);
            let before = format!("{queue:?}");
            let preview = queue.preview(&item, at(1_000));
            prop_assert_eq!(format!("{:?}", &queue), before);
            prop_assert_eq!(preview.err(), refused_after(queue.push(item, at(1_000))));
            if is_served {
                queue.pop(at(1_000));
            }
        }
    }

    /// Guards against a preview of the fair queue that differs from its decision.
    #[test]
    fn a_fair_queue_is_previewed_as_it_decides(
        capacity in 1_usize..8,
        items in prop::collection::vec((0_u8..4, 0_u64..200), 1..60),
    ) {
        let mut queue = FairQueue::new(QueueLimits::new().capacity(capacity).slots(2));
        for (index, allowed) in items {
            let item = WaitingItem {
                customer: customer(index),
                deadline: at(1_000 + allowed),
                cost: 1,
                item: (),
            };
            let before = format!("{queue:?}");
            let preview = queue.preview(&item, at(1_000));
            prop_assert_eq!(format!("{:?}", &queue), before);
            prop_assert_eq!(preview.err(), refused_after(queue.push(item, at(1_000))));
        }
    }

    /// Guards against a decision by report that passes the gate although it is only previewed.
    #[test]
    fn a_report_is_previewed_as_it_decides(
        steps in prop::collection::vec((0_u64..80, prop::option::of(0_u64..600), 0_u8..4), 1..40),
    ) {
        let mut gate = ReportGate::default();
        let mut now = 1_000;
        for (elapsed, reported, priority) in steps {
            now += elapsed;
            if let Some(wait) = reported {
                gate.record(PriorityWaits::new([Duration::from_millis(wait); 3]), at(now));
            }
            let priority = RoutePriority::new(priority);
            let max_wait = Duration::from_millis(150);
            let decided = gate.decide(priority, max_wait, at(now));
            prop_assert_eq!(decided, gate.decide(priority, max_wait, at(now)));
            let expected = match decided {
                ReportDecision::Forward | ReportDecision::Probe => Ok(()),
                ReportDecision::Refuse(wait) => Err(wait),
            };
            prop_assert_eq!(gate.admit(priority, max_wait, at(now)), expected);
        }
    }

    /// Guards against a choice outside the previewed candidates, and against a candidate that is
    /// neither excluded nor has a weight.
    #[test]
    fn reads_are_placed_among_the_previewed_candidates(
        targets in prop::collection::vec((0_usize..40, 1_usize..8, 0_u64..250, any::<u8>()), 0..6),
        tried in prop::collection::vec(0_usize..6, 0..3),
        seed in any::<u64>(),
    ) {
        let candidates: Vec<_> = targets.into_iter().map(candidate).collect();
        let limits = SpreadLimits { max_wait: Duration::from_millis(400), senders: 7 };
        let range = SpreadRange::new(&candidates, limits, &tried);
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..20 {
            let choice = SpreadPlacement::choose(&candidates, limits, &tried, &mut rng);
            prop_assert_eq!(choice.is_some(), range.is_some());
            if let (Some(choice), Some(range)) = (choice, range) {
                let weight = range.weights().find(|(index, _)| *index == choice.index);
                prop_assert!(weight.is_some_and(|(_, weight)| weight > 0.0));
            }
        }
        if let Some(range) = range {
            for index in 0..candidates.len() {
                let has_weight = range.weights().any(|(weighted, _)| weighted == index);
                prop_assert_eq!(range.exclusion(index).is_none(), has_weight);
            }
        }
    }
}
