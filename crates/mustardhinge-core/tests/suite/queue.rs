//! Fairness, deadlines and bounds of the queue in front of a target.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{
    FairQueue, PopOutcome, PushOutcome, QueueLimits, SlotLimiter, WaitingItem,
};
use proptest::prelude::*;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn work(customer: &str, deadline: u64, item: u32) -> WaitingItem<u32> {
    WaitingItem {
        customer: customer.parse().unwrap(),
        deadline: at(deadline),
        cost: 1,
        item,
    }
}

fn queue(capacity: usize) -> FairQueue<u32> {
    let limits = QueueLimits::new().capacity(capacity).slots(2);
    FairQueue::new(limits.initial_service_time(Duration::from_millis(10)))
}

fn is_queued(outcome: &PushOutcome<u32>) -> bool {
    matches!(outcome, PushOutcome::Queued { .. })
}

fn pop_ready(queue: &mut FairQueue<u32>, now: u64) -> Option<(String, u32)> {
    match queue.pop(at(now))? {
        PopOutcome::Ready(ready) => Some((ready.customer.to_string(), ready.item)),
        PopOutcome::Expired(_) => None,
    }
}

#[test]
fn a_flood_of_one_customer_does_not_delay_another() {
    let mut queue = queue(200);
    for item in 0..100 {
        queue.push(work("large", 10_000, item), at(0));
    }
    queue.push(work("small", 10_000, 500), at(0));
    let first_two = [pop_ready(&mut queue, 0), pop_ready(&mut queue, 0)];
    assert!(first_two.contains(&Some(("small".to_owned(), 500))));
}

#[test]
fn customers_with_costly_work_are_served_less_often() {
    let mut queue = queue(200);
    for item in 0..40 {
        let costly = WaitingItem {
            cost: 4,
            ..work("costly", 10_000, item)
        };
        queue.push(costly, at(0));
        queue.push(work("cheap", 10_000, item), at(0));
    }
    let popped: Vec<_> = (0..20).filter_map(|_| pop_ready(&mut queue, 0)).collect();
    let cheap = popped
        .iter()
        .filter(|(customer, _)| customer == "cheap")
        .count();
    assert_eq!(cheap, 16);
}

#[test]
fn the_earliest_deadline_goes_first_within_a_customer() {
    let mut queue = queue(10);
    queue.push(work("a", 900, 1), at(0));
    queue.push(work("a", 300, 2), at(0));
    queue.push(work("a", 600, 3), at(0));
    let order: Vec<_> = (0..3).filter_map(|_| pop_ready(&mut queue, 0)).collect();
    let items: Vec<_> = order.into_iter().map(|(_, item)| item).collect();
    assert_eq!(items, [2, 3, 1]);
}

#[test]
fn work_that_would_be_late_is_refused_on_arrival() {
    let mut queue = queue(100);
    for item in 0..10 {
        queue.push(work("a", 1_000, item), at(0));
    }
    // Ten items of 10 ms in two slots take 50 ms; the new item completes 10 ms later, at 60 ms.
    assert!(is_queued(&queue.push(work("a", 1_060, 10), at(1_000))));
    let PushOutcome::Refused(refusal) = queue.push(work("a", 1_060, 11), at(1_001)) else {
        panic!("work that cannot meet its deadline was queued");
    };
    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    assert!(!refusal.retry_after.get().is_zero());
}

#[test]
fn observed_service_times_move_the_estimate() {
    let mut queue = queue(100);
    assert!(is_queued(&queue.push(work("a", 50, 0), at(0))));
    for _ in 0..40 {
        queue.record_service(1, Duration::from_millis(80));
    }
    assert!(!is_queued(&queue.push(work("b", 50, 1), at(0))));
}

#[test]
fn fewer_slots_lengthen_the_expected_wait() {
    let mut queue = queue(100);
    for item in 0..10 {
        queue.push(work("a", 1_000, item), at(0));
    }
    queue.set_slots(1);
    assert!(!is_queued(&queue.push(work("a", 1_060, 10), at(1_000))));
    assert!(is_queued(&queue.push(work("a", 1_110, 10), at(1_000))));
}

#[test]
fn expired_work_is_removed_before_work_in_turn() {
    let mut queue = queue(10);
    queue.push(work("a", 900, 1), at(0));
    queue.push(work("b", 300, 2), at(0));
    assert_eq!(queue.next_deadline(), Some(at(300)));
    let Some(PopOutcome::Expired(expired)) = queue.pop(at(300)) else {
        panic!("the item whose deadline has passed was not returned first");
    };
    assert_eq!(expired.refused.item, 2);
    assert_eq!(expired.reason, RefusalReason::DeadlinePassed);
    assert_eq!(pop_ready(&mut queue, 300), Some(("a".to_owned(), 1)));
}

#[test]
fn a_full_queue_evicts_from_the_longest_customer_queue() {
    let mut queue = queue(4);
    for item in 0..4 {
        queue.push(work("large", 10_000, item), at(0));
    }
    let PushOutcome::Queued { displaced, .. } = queue.push(work("small", 10_000, 9), at(0)) else {
        panic!("the work of the small customer was refused");
    };
    assert_eq!(displaced.unwrap().refused.customer.as_str(), "large");
    assert!(!is_queued(&queue.push(work("large", 10_000, 5), at(0))));
    assert_eq!(queue.len(), 4);
}

#[test]
fn cancelled_work_is_never_returned() {
    let mut queue = queue(4);
    let PushOutcome::Queued { ticket, .. } = queue.push(work("a", 900, 1), at(0)) else {
        panic!("the work was refused although the queue has room");
    };
    assert_eq!(queue.cancel(&ticket), Some(1));
    assert_eq!(queue.cancel(&ticket), None);
    assert!(queue.pop(at(0)).is_none());
}

#[test]
fn a_lower_limit_holds_once_statements_end() {
    let mut slots = SlotLimiter::new(2);
    assert!(slots.try_acquire() && slots.try_acquire());
    slots.set_limit(1);
    slots.release();
    assert!(!slots.try_acquire());
    slots.release();
    assert!(slots.try_acquire());
}

proptest! {
    /// While all customers have waiting items, no customer is ahead of another by more than one
    /// served item.
    #[test]
    fn waiting_customers_get_equal_turns(
        lengths in prop::collection::vec(20_usize..60, 2..6),
        pops in 1_usize..40,
    ) {
        let mut queue = queue(1_000);
        for (customer, length) in lengths.iter().enumerate() {
            for item in 0..*length {
                let item = u32::try_from(item).unwrap();
                queue.push(work(&format!("c{customer}"), 100_000, item), at(0));
            }
        }
        let mut turns: BTreeMap<String, usize> = BTreeMap::new();
        for _ in 0..pops.min(20 * lengths.len()) {
            let (customer, _) = pop_ready(&mut queue, 0).unwrap();
            *turns.entry(customer).or_default() += 1;
        }
        let most = turns.values().max().copied().unwrap_or(0);
        let least = if turns.len() < lengths.len() { 0 } else { *turns.values().min().unwrap() };
        prop_assert!(most - least <= 1, "{:?}", turns);
    }

    /// No item is lost and no item is returned twice.
    #[test]
    fn every_item_leaves_exactly_once(
        arrivals in prop::collection::vec((0_u8..4, 1_u64..400, 0_u32..9), 1..80),
    ) {
        let mut queue = queue(12);
        let mut left = Vec::new();
        let mut item = 0;
        for (customer, deadline, cost) in &arrivals {
            let arrival = WaitingItem {
                cost: *cost,
                ..work(&format!("c{customer}"), *deadline, item)
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
        left.sort_unstable();
        prop_assert_eq!(left, (0..item).collect::<Vec<_>>());
    }
}
