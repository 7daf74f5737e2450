//! Order, admission and bounds of the queue with priorities, and the report of its waits.

use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{
    CostEstimates, CustomerWeight, FairQueue, PopOutcome, PriorityItem, PriorityQueue,
    PriorityWaits, PushOutcome, QueueLimits, ReportGate, RetryJitter, SlotCost, WaitingItem,
    WorkKind,
};
use proptest::prelude::*;

const COST_MS: u64 = 10;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn work(customer: &str, priority: u8, item: u32) -> PriorityItem<u32> {
    PriorityItem {
        customer: customer.parse().unwrap(),
        weight: CustomerWeight::LOWEST,
        priority: RoutePriority::new(priority),
        admit_by: at(100_000),
        deadline: at(100_000),
        cost: SlotCost::new(millis(COST_MS)),
        item,
    }
}

fn queue(capacity: usize) -> PriorityQueue<u32> {
    PriorityQueue::new(QueueLimits::new().capacity(capacity).slots(2))
}

fn is_queued(outcome: &PushOutcome<u32>) -> bool {
    matches!(outcome, PushOutcome::Queued { .. })
}

fn pop(queue: &mut PriorityQueue<u32>) -> Option<(String, u32)> {
    match queue.pop(at(0))? {
        PopOutcome::Ready(ready) => Some((ready.customer.to_string(), ready.item)),
        PopOutcome::Expired(_) => None,
    }
}

fn count_served(queue: &mut PriorityQueue<u32>, pops: usize, customer: &str) -> usize {
    let served = (0..pops).filter_map(|_| pop(queue));
    served.filter(|(served, _)| served == customer).count()
}

/// Guards against priorities that have no effect on the order.
#[test]
fn a_higher_priority_goes_first() {
    let mut queue = queue(10);
    for (item, priority) in [(0, 2), (1, 1), (2, 0)] {
        queue.push(work("a", priority, item), at(0));
    }
    let order: Vec<_> = (0..3).filter_map(|_| pop(&mut queue)).collect();
    assert_eq!(
        order.iter().map(|(_, item)| *item).collect::<Vec<_>>(),
        [2, 1, 0]
    );
}

/// Guards against a lower priority that starves, and against a guarantee that takes more than its
/// part from the higher ones.
#[test]
fn each_waiting_lower_priority_gets_a_sixteenth() {
    let mut queue = queue(2_000);
    for item in 0..600 {
        queue.push(work("high", 0, item), at(0));
        queue.push(work("middle", 1, item), at(0));
        queue.push(work("low", 2, item), at(0));
    }
    let mut served = [0_usize; 3];
    for _ in 0..320 {
        match pop(&mut queue).unwrap().0.as_str() {
            "high" => served[0] += 1,
            "middle" => served[1] += 1,
            _ => served[2] += 1,
        }
    }
    assert_eq!(served[0], 320 - served[1] - served[2]);
    assert!((19..=20).contains(&served[1]), "{served:?}");
    assert!((19..=20).contains(&served[2]), "{served:?}");
}

/// Guards against weights without effect: a customer with three times the rate gets three times
/// the slot time.
#[test]
fn customers_share_by_weight() {
    let mut queue = queue(1_000);
    for item in 0..200 {
        let heavy = PriorityItem {
            weight: CustomerWeight::from_rate(300.0),
            ..work("heavy", 0, item)
        };
        let light = PriorityItem {
            weight: CustomerWeight::from_rate(100.0),
            ..work("light", 0, item)
        };
        queue.push(heavy, at(0));
        queue.push(light, at(0));
    }
    let heavy = count_served(&mut queue, 160, "heavy");
    assert!((118..=122).contains(&heavy), "{heavy}");
}

/// Guards against a customer that sends one statement at a time and gets a whole turn of each
/// round, whatever its weight.
#[test]
fn a_customer_with_one_item_at_a_time_pays_its_debt() {
    let mut queue = queue(1_000);
    let light = |item| PriorityItem {
        weight: CustomerWeight::from_rate(10.0),
        ..work("light", 0, item)
    };
    for item in 0..400 {
        let heavy = PriorityItem {
            weight: CustomerWeight::from_rate(90.0),
            ..work("heavy", 0, item)
        };
        queue.push(heavy, at(0));
    }
    queue.push(light(0), at(0));
    let mut light_served = 0;
    for item in 1..=200 {
        if pop(&mut queue).unwrap().0 == "light" {
            light_served += 1;
            queue.push(light(item), at(0));
        }
    }
    assert!((19..=22).contains(&light_served), "{light_served}");
}

/// Guards against turns that count statements instead of slot time.
#[test]
fn customers_with_costly_work_are_served_less_often() {
    let mut queue = queue(1_000);
    for item in 0..200 {
        let costly = PriorityItem {
            cost: SlotCost::new(millis(COST_MS * 4)),
            ..work("costly", 0, item)
        };
        queue.push(costly, at(0));
        queue.push(work("cheap", 0, item), at(0));
    }
    let cheap = count_served(&mut queue, 100, "cheap");
    assert!((77..=83).contains(&cheap), "{cheap}");
}

/// Guards against a later deadline that goes first within a customer.
#[test]
fn the_earliest_deadline_goes_first_within_a_customer() {
    let mut queue = queue(10);
    for (item, deadline) in [(0, 900), (1, 300), (2, 600)] {
        let due = PriorityItem {
            deadline: at(deadline),
            ..work("a", 0, item)
        };
        queue.push(due, at(0));
    }
    let order: Vec<_> = (0..3).filter_map(|_| pop(&mut queue)).collect();
    assert_eq!(
        order.iter().map(|(_, item)| *item).collect::<Vec<_>>(),
        [1, 2, 0]
    );
}

/// Guards against an estimate that leaves out the higher priorities that wait, or counts the
/// lower ones in full.
#[test]
fn the_expected_wait_follows_the_order() {
    let mut queue = queue(100);
    for item in 0..10 {
        let due = PriorityItem {
            deadline: at(52),
            ..work("a", 1, item)
        };
        queue.push(due, at(0));
    }
    // Ten items of 10 ms in two slots; a sixteenth of lower priorities goes in between.
    let wait_of = |queue: &PriorityQueue<u32>, priority| {
        queue
            .expected_wait(&work("a", priority, 99), at(0))
            .as_millis()
    };
    assert_eq!(wait_of(&queue, 0), 0);
    assert_eq!(wait_of(&queue, 1), 50);
    assert!(wait_of(&queue, 2) >= 50);
    for item in 10..20 {
        queue.push(work("a", 2, item), at(0));
    }
    assert_eq!(wait_of(&queue, 1), 53);
    let late = PriorityItem {
        admit_by: at(52),
        deadline: at(60),
        ..work("a", 1, 99)
    };
    let PushOutcome::Refused(refusal) = queue.push(late, at(0)) else {
        panic!("work that can't be sent by its deadline was queued");
    };
    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    assert_eq!(refusal.retry_after.get().as_millis(), 53);
}

/// Guards against a lower priority that is admitted although the higher ones that keep arriving
/// will take its slots.
#[test]
fn the_expected_wait_includes_the_demand_of_higher_priorities() {
    let mut queue = queue(100);
    // One of the two slots is taken by a higher priority that never waits.
    for now in (0..3_000).step_by(10) {
        let cost = SlotCost::new(millis(COST_MS));
        queue.record_demand(RoutePriority::HIGHEST, cost, at(now));
    }
    for item in 0..10 {
        queue.push(work("a", 1, item), at(3_000));
    }
    let wait = queue
        .expected_wait(&work("a", 1, 99), at(3_000))
        .as_millis();
    assert!((95..=105).contains(&wait), "{wait}");
}

/// Guards against a full queue of low priority that keeps out a higher one.
#[test]
fn a_full_queue_evicts_the_lowest_priority() {
    let mut queue = queue(4);
    for item in 0..4 {
        queue.push(work("a", 2, item), at(0));
    }
    let PushOutcome::Queued { displaced, .. } = queue.push(work("a", 0, 9), at(0)) else {
        panic!("the work of higher priority was refused");
    };
    assert_eq!(displaced.unwrap().refused.item, 3);
    assert!(!is_queued(&queue.push(work("b", 3, 10), at(0))));
    assert!(is_queued(&queue.push(work("b", 2, 11), at(0))));
    assert_eq!(queue.len(), 4);
    assert!(!is_queued(&queue.push(work("a", 2, 12), at(0))));
}

/// Guards against cancelled work that is returned or still counted.
#[test]
fn cancelled_work_is_never_returned() {
    let mut queue = queue(4);
    let PushOutcome::Queued { ticket, .. } = queue.push(work("a", 1, 1), at(0)) else {
        panic!("the work was refused although the queue has room");
    };
    assert_eq!(queue.cancel(RoutePriority::new(1), &ticket), Some(1));
    assert_eq!(queue.cancel(RoutePriority::new(1), &ticket), None);
    assert!(queue.is_empty() && pop(&mut queue).is_none());
}

/// A report that is 500 ms old. Guards against refusals by a report of a gateway that was lost,
/// and against a report that is used without subtracting its age.
#[test]
fn an_old_report_refuses_nothing() {
    let mut gate = ReportGate::default();
    gate.record(PriorityWaits::new([millis(600); 3]), at(1_000));
    let priority = RoutePriority::HIGHEST;
    let mut admitted = |now| gate.admit(priority, millis(450), at(now)).is_ok();
    assert!(admitted(1_000), "the first statement renews the report");
    assert!(!admitted(1_010));
    assert!(admitted(1_120), "a statement each 50 ms renews the report");
    assert!(!admitted(1_149));
    assert!(admitted(1_150), "600 ms less 150 ms is a wait of 450 ms");
    gate.record(PriorityWaits::new([millis(5_000); 3]), at(2_000));
    let mut admitted = |now| gate.admit(priority, millis(450), at(now)).is_ok();
    assert!(admitted(2_200) && !admitted(2_249));
    for now in 2_500..2_510 {
        assert!(admitted(now), "the report is 500 ms old");
    }
}

/// Guards against a higher priority that is refused because lower ones wait.
#[test]
fn a_report_refuses_each_priority_by_its_own_wait() {
    let mut queue = queue(100);
    for item in 0..90 {
        queue.push(work(&format!("c{item}"), 2, item), at(0));
    }
    let mut gate = ReportGate::default();
    gate.record(queue.reported_waits(at(0)), at(0));
    let mut admitted = |priority| {
        let priority = RoutePriority::new(priority);
        gate.admit(priority, millis(150), at(0)).is_ok()
    };
    assert!(admitted(2), "the first statement renews the report");
    assert!(!admitted(2) && !admitted(7));
    assert!(admitted(0) && admitted(1));
}

/// Guards against costs that stay at their initial value, and against a priority or kind that
/// changes the estimate of another.
#[test]
fn costs_are_learned_for_each_priority_and_kind() {
    let mut costs = CostEstimates::default();
    for _ in 0..40 {
        costs.record(RoutePriority::new(2), WorkKind::Read, millis(40));
        costs.record(RoutePriority::new(2), WorkKind::Begin, millis(160));
        costs.record_opening(millis(30));
    }
    let cost_ms = |priority, kind| {
        let cost = costs.cost_of(RoutePriority::new(priority), kind);
        cost.as_micros().div_ceil(1_000)
    };
    assert_eq!(cost_ms(2, WorkKind::Read), 40);
    assert_eq!(cost_ms(2, WorkKind::Begin), 160);
    assert_eq!(cost_ms(2, WorkKind::Write), 20);
    assert_eq!(cost_ms(1, WorkKind::Read), 20);
    assert_eq!(costs.opening_cost().as_micros().div_ceil(1_000), 30);
}

/// Guards against refused callers of a low priority that all return at the same moment.
#[test]
fn callers_with_the_same_retry_delay_return_apart() {
    let delay = RetryDelay::new(millis(400));
    let priority = RoutePriority::new(2);
    let mut returns = [0_u32; 11];
    for draw in (0..u16::MAX).step_by(64) {
        let spread = RetryJitter::spread(delay, priority, draw).get() - delay.get();
        returns[spread.as_millis() as usize / 10] += 1;
    }
    let all: u32 = returns.iter().sum();
    assert!(returns.iter().all(|count| count * 9 < all), "{returns:?}");
}

proptest! {
    /// With equal priorities, weights and costs, the order is that of the fair queue.
    #[test]
    fn equal_work_is_ordered_like_the_fair_queue(
        steps in prop::collection::vec((0_u8..6, 0_u64..50, any::<bool>()), 1..200),
        cost in 1_u64..50,
    ) {
        let limits = QueueLimits::new().capacity(1_000).slots(2);
        let mut fair = FairQueue::new(limits.initial_service_time(millis(cost)));
        let mut ranked = PriorityQueue::new(limits);
        let mut item = 0;
        for (customer, due, is_pop) in steps {
            if is_pop {
                prop_assert_eq!(fair.pop(at(0)), ranked.pop(at(0)));
                continue;
            }
            item += 1;
            let arrival = PriorityItem {
                admit_by: at(1_000_000),
                deadline: at(1_000_000 + due),
                cost: SlotCost::new(millis(cost)),
                ..work(&format!("c{customer}"), 0, item)
            };
            fair.push(WaitingItem {
                customer: arrival.customer.clone(),
                deadline: arrival.deadline,
                cost: 1,
                item,
            }, at(0));
            ranked.push(arrival, at(0));
        }
        while let Some(popped) = fair.pop(at(0)) {
            prop_assert_eq!(Some(popped), ranked.pop(at(0)));
        }
        prop_assert!(ranked.is_empty());
    }

    /// No item is lost and no item is returned twice.
    #[test]
    fn every_item_leaves_exactly_once(
        arrivals in prop::collection::vec((0_u8..4, 0_u8..3, 1_u64..400, 0_u64..90), 1..120),
    ) {
        let mut queue = queue(12);
        let mut left = Vec::new();
        let mut item = 0;
        for (customer, priority, deadline, cost) in &arrivals {
            let arrival = PriorityItem {
                cost: SlotCost::new(millis(*cost)),
                admit_by: at(*deadline / 2),
                deadline: at(*deadline),
                weight: CustomerWeight::from_rate((u32::from(*customer) * 50).into()),
                ..work(&format!("c{customer}"), *priority, item)
            };
            item += 1;
            match queue.push(arrival, at(0)) {
                PushOutcome::Queued { displaced, .. } => {
                    left.extend(displaced.map(|refusal| refusal.refused.item));
                }
                PushOutcome::Refused(refusal) => left.push(refusal.refused.item),
            }
        }
        for now in 0.. {
            match queue.pop(at(now * 10)) {
                Some(PopOutcome::Ready(ready)) => left.push(ready.item),
                Some(PopOutcome::Expired(refusal)) => left.push(refusal.refused.item),
                None => break,
            }
        }
        prop_assert!(queue.is_empty() && queue.next_deadline().is_none());
        left.sort_unstable();
        prop_assert_eq!(left, (0..item).collect::<Vec<_>>());
    }

    /// Guards against a retry delay that is shortened, or spread by more than a quarter.
    #[test]
    fn retry_delays_are_spread_by_at_most_a_quarter(
        delay in 0_u64..10_000, priority in any::<u8>(), draw in any::<u16>(),
    ) {
        let delay = RetryDelay::new(millis(delay));
        let spread = RetryJitter::spread(delay, RoutePriority::new(priority), draw);
        let divisor = match priority { 0 => 16, 1 => 8, _ => 4 };
        prop_assert!(spread >= delay);
        prop_assert!(spread.get() <= delay.get() + delay.get() / divisor);
    }
}
