//! The queue in front of a target, without a network.

use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{
    CustomerWeight, FairQueue, PopOutcome, PushOutcome, QueueLimits, WaitingItem, WorkKind,
};
use mustardhinge_entry::target::{LeasedWork, RequestQueue, SlotRequest};
use proptest::prelude::*;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn request(customer: &str, priority: u8, deadline: u64) -> SlotRequest {
    SlotRequest {
        customer: customer.parse().unwrap(),
        deadline: at(deadline),
        priority: RoutePriority::new(priority),
        kind: WorkKind::Read,
        weight: Some(CustomerWeight::from_rate(40.0)),
    }
}

fn without_priorities(request: SlotRequest) -> SlotRequest {
    SlotRequest {
        weight: None,
        ..request
    }
}

/// Removes the next item, which must be ready.
fn pop_ready(queue: &mut RequestQueue<u32>) -> Option<u32> {
    match queue.pop(at(0))? {
        PopOutcome::Ready(ready) => Some(ready.item),
        PopOutcome::Expired(expired) => panic!("{expired:?}"),
    }
}

proptest! {
    /// Guards against a change of the queue of services whose routes have the same priority.
    #[test]
    fn without_different_priorities_the_order_is_that_of_the_fair_queue(
        steps in prop::collection::vec((0..5_u8, 0..4_u8, 0..8_u8, 1..400_u64), 1..200)
    ) {
        let limits = QueueLimits::new().capacity(16).slots(2);
        let mut queue = RequestQueue::new(limits);
        let mut fair = FairQueue::new(limits);
        let mut tickets = Vec::new();
        for (step, (action, customer, priority, millis)) in steps.into_iter().enumerate() {
            let now = at(step as u64 * 5);
            let arrival = request(&format!("c{customer}"), priority, step as u64 * 5 + millis);
            let arrival = without_priorities(arrival);
            match action {
                0 => prop_assert_eq!(queue.pop(now), fair.pop(now)),
                1 => {
                    queue.record_service(Duration::from_millis(millis / 10));
                    fair.record_service(1, Duration::from_millis(millis / 10));
                }
                2 => if let Some((place, ticket)) = tickets.pop() {
                    prop_assert_eq!(queue.cancel(&place), fair.cancel(&ticket));
                },
                _ => {
                    let item = WaitingItem {
                        customer: arrival.customer.clone(),
                        deadline: arrival.deadline,
                        cost: 1,
                        item: step,
                    };
                    match (queue.push(&arrival, step, now), fair.push(item, now)) {
                        (Ok((place, evicted)), PushOutcome::Queued { ticket, displaced }) => {
                            prop_assert_eq!(evicted, displaced);
                            prop_assert_eq!(place.wait_until, arrival.deadline);
                            tickets.push((place, ticket));
                        }
                        (Err(refusal), PushOutcome::Refused(expected)) => {
                            prop_assert_eq!(refusal, expected);
                        }
                        (mine, expected) => prop_assert!(false, "{:?} {:?}", mine, expected),
                    }
                }
            }
            prop_assert_eq!(queue.len(), fair.len());
        }
    }
}

/// Guards against requests that nobody serves after a document changed the priorities.
#[test]
fn requests_of_both_queues_are_served_after_a_change_of_the_document() {
    let mut queue = RequestQueue::new(QueueLimits::new());
    let old = without_priorities(request("c0", 0, 1_000));
    queue.push(&old, 1, at(0)).unwrap();
    queue.push(&request("c0", 2, 1_000), 2, at(0)).unwrap();
    queue.push(&request("c0", 1, 1_000), 3, at(0)).unwrap();
    let (place, _) = queue.push(&request("c0", 1, 1_000), 4, at(0)).unwrap();
    assert_eq!(queue.cancel(&place), Some(4));
    assert_eq!(queue.len(), 3);
    let order: Vec<_> = std::iter::from_fn(|| pop_ready(&mut queue)).collect();
    assert_eq!(order, [1, 3, 2]);
}

/// Guards against requests that are queued although they would wait too long, and against costs
/// that are not learned by priority.
#[test]
fn a_request_that_would_wait_too_long_is_refused_on_arrival() {
    let mut queue = RequestQueue::new(QueueLimits::new().slots(1));
    let costly = request("c0", 1, 400);
    let work = LeasedWork::of(&costly, at(0)).unwrap();
    for _ in 0..100 {
        queue.record_work(work, at(100));
    }
    // Three costly requests take the three quarters of 400 ms within which the fourth has to be sent.
    for item in 0..3 {
        queue.push(&costly, item, at(0)).unwrap();
    }
    queue.push(&costly, 3, at(0)).unwrap();
    let refusal = queue.push(&costly, 4, at(0)).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    let delay = queue.retry_delay(&costly, at(0)).unwrap().get();
    assert!((395..=405).contains(&delay.as_millis()), "{delay:?}");
    assert_eq!(refusal.retry_after.get(), delay);
    assert_eq!(queue.retry_delay(&without_priorities(costly), at(0)), None);
    let (place, _) = queue.push(&request("c0", 0, 400), 5, at(0)).unwrap();
    assert_eq!(place.wait_until, at(380));
}

/// Guards against an expected wait that ignores the connections which higher priorities open.
#[test]
fn opening_connections_counts_as_demand() {
    let mut queue: RequestQueue<u32> = RequestQueue::new(QueueLimits::new());
    let first = request("c0", 0, 1_000);
    assert_eq!(queue.direct_cost(&first, true).as_micros(), 20_000);
    assert_eq!(queue.direct_cost(&first, false).as_micros(), 32_000);
    queue.record_opening(Duration::from_millis(900));
    assert_eq!(queue.direct_cost(&first, false).as_micros(), 920_000);
    queue.push(&request("c2", 1, 1_000), 1, at(0)).unwrap();
    let second = request("c1", 1, 400);
    queue.clone().push(&second, 2, at(0)).unwrap();
    queue.record_direct(&without_priorities(first.clone()), false, at(0));
    queue.clone().push(&second, 2, at(0)).unwrap();
    queue.record_direct(&first, true, at(0));
    queue.clone().push(&second, 2, at(0)).unwrap();
    queue.record_direct(&first, false, at(0));
    queue.push(&second, 2, at(0)).unwrap_err();
}
