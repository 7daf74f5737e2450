//! Internal retries: the limit of a customer and priority, and a replay of a target that refuses a
//! third of its statements under 1.5 times the load.

use mustardhinge_core::prelude::*;
use mustardhinge_core::retry::{RecentRetries, RetryTable};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const TARGETS: usize = 3;
const CUSTOMERS: usize = 20;
const PRIORITIES: u8 = 3;
/// Attempts of one operation, as of a read.
const MAX_ATTEMPTS: usize = 6;
/// Statements that a target runs in each tenth of a second; it refuses the others as busy.
const CAPACITY: u32 = 20;
/// Operations in each tenth of a second: 1.5 times what the targets can run.
const LOAD: u32 = CAPACITY * TARGETS as u32 * 3 / 2;
/// The time that one operation of the limit counts for.
const WINDOW_MS: u64 = 10_000;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn customer(index: usize) -> CustomerId {
    format!("c{index}").parse().unwrap()
}

/// Attempts and operations of a replay.
#[derive(Debug, Default)]
struct Counts {
    operations: usize,
    attempts: usize,
}

/// Runs ten seconds. Half of the operations belong to the first customer.
fn replay(seed: u64, is_limited: bool) -> Counts {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut table = RetryTable::default();
    let mut counts = Counts::default();
    for now in (0..WINDOW_MS).step_by(100).map(at) {
        let mut run = [0; TARGETS];
        for _ in 0..LOAD {
            let is_first = rng.random::<bool>();
            let index = if is_first {
                0
            } else {
                rng.random_range(0..CUSTOMERS)
            };
            let customer = customer(index);
            let priority = RoutePriority::new(rng.random_range(0..PRIORITIES));
            table.record_operation(&customer, priority, now);
            counts.operations += 1;
            let first = rng.random_range(0..TARGETS);
            for attempt in 0..MAX_ATTEMPTS {
                let target = (first + attempt) % TARGETS;
                let is_retried = attempt > 0;
                if is_retried && is_limited && !table.admit(&customer, priority, now) {
                    break;
                }
                counts.attempts += 1;
                let is_refused = target == 0 && rng.random_range(0..3) == 0;
                if !is_refused && run[target] < CAPACITY {
                    run[target] += 1;
                    break;
                }
            }
        }
    }
    counts
}

/// Guards against retries that multiply the load: attempts are at most 1.1 times the operations
/// plus 3 for each customer and priority.
#[test]
fn retries_under_pressure_stay_within_a_tenth_of_the_operations() {
    for seed in 0..5 {
        let counts = replay(seed, true);
        let keys = CUSTOMERS * usize::from(PRIORITIES);
        let bound = counts.operations * 11 / 10 + 3 * keys;
        assert!(counts.attempts <= bound, "seed {seed}: {counts:?}");
        assert!(counts.attempts > counts.operations, "seed {seed}");
    }
}

/// Shows that the replay needs the limit.
#[test]
fn without_the_limit_the_load_doubles() {
    let counts = replay(0, false);
    assert!(counts.attempts > 2 * counts.operations, "{counts:?}");
}

/// Guards against a customer with few operations that can't survive the loss of a target, and
/// against a limit that counts operations of more than 10 s ago.
#[test]
fn at_least_three_retries_and_a_tenth_of_the_recent_operations() {
    let mut retries = RecentRetries::default();
    let count = |retries: &mut RecentRetries, now| (0..100).filter(|_| retries.admit(now)).count();
    assert_eq!(count(&mut retries, at(0)), 3);
    for _ in 0..80 {
        retries.record_operation(at(100));
    }
    assert_eq!(count(&mut retries, at(9_900)), 5);
    // The operations of the first second have left the window; the later retries have not.
    assert_eq!(count(&mut retries, at(10_100)), 0);
    assert_eq!(count(&mut retries, at(19_900)), 3);
}

/// Guards against a limit that other customers or priorities use up, and against a table that
/// keeps customers for ever.
#[test]
fn each_customer_and_priority_has_its_own_limit() {
    let mut table = RetryTable::default();
    for (index, priority) in [(0, 0), (0, 1), (1, 0)] {
        let mut admit = || table.admit(&customer(index), RoutePriority::new(priority), at(1_000));
        assert!((0..3).all(|_| admit()) && !admit());
    }
    assert_eq!(table.len(), 3);
    table.record_operation(&customer(2), RoutePriority::HIGHEST, at(30_000));
    assert_eq!(table.len(), 1);
}
