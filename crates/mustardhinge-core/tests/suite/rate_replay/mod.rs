//! Replay of the rates of a deployment with 77 instances and 81 customers while leaders are lost
//! and instances restart.

mod pool_failures;
mod replay_customer;
mod replay_fleet;
mod replay_zone;

use mustardhinge_core::overload::OverloadControl;
use mustardhinge_core::prelude::MonotonicTime;
use rand::RngExt;

use self::replay_fleet::ReplayFleet;

/// Number of instances.
const INSTANCES: usize = 77;
/// The window of the rate limit target, in milliseconds.
const WINDOW: u64 = 5_000;
/// Duration of a step, in milliseconds.
const STEP: u64 = 10;
/// Time after which the replay is in its usual state, in milliseconds.
const SETTLED: u64 = 8_000;
/// Number of runs of each test, each with another seed.
const SEEDS: u64 = 12;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Fails if a customer had more operations in a window than its bound allows.
fn check_windows(fleet: &ReplayFleet, what: &str) {
    let beyond = fleet.customers.iter().filter_map(|customer| {
        let (most, allowed) = (customer.most_in_window(), customer.most_allowed());
        (most > allowed).then(|| {
            format!(
                "{} of rate {}: {most} of {allowed}",
                customer.id, customer.limits.rate
            )
        })
    });
    let beyond: Vec<_> = beyond.collect();
    assert!(beyond.is_empty(), "{what}: {beyond:?}");
}

/// Every customer floods by 1 to 8 times, and the leader is lost twice for 1 to 10 s. Guards
/// against isolated instances that together admit more than the bound.
#[test]
fn floods_without_a_leader_stay_within_the_bound() {
    for seed in 0..SEEDS {
        let mut fleet = ReplayFleet::new(OverloadControl::On, seed);
        fleet.loss = if seed % 2 == 0 { 0.0 } else { 0.02 };
        fleet.run(SETTLED, |_| 1.0);
        let flood = |customer: usize| ((customer as u64 + seed) % 8 + 1) as f64;
        for _ in 0..2 {
            let usual_until = fleet.now + fleet.random.random_range(0..3_000);
            fleet.run(usual_until, flood);
            let away = fleet.random.random_range(1_000..10_000);
            fleet.lose_leader(away);
            fleet.run(fleet.now + away, flood);
        }
        fleet.run(fleet.now + 6_000, flood);
        check_windows(&fleet, &format!("seed {seed}"));
    }
}

/// The floods begin when the leader is lost, after usual load: the instances hold what they were
/// granted at full buckets.
#[test]
fn floods_that_begin_without_a_leader_stay_within_the_bound() {
    for seed in 0..SEEDS {
        let mut fleet = ReplayFleet::new(OverloadControl::On, 100 + seed);
        fleet.run(SETTLED, |_| 1.0);
        let away = fleet.random.random_range(1_000..10_000);
        fleet.lose_leader(away);
        let flood = |customer: usize| ((customer as u64 + seed) % 8 + 1) as f64;
        fleet.run(fleet.now + away + 6_000, flood);
        check_windows(&fleet, &format!("seed {seed}"));
    }
}

/// Leaders are lost again and again while instances restart. Guards against buckets that each
/// outage starts anew.
#[test]
fn repeated_outages_and_restarts_stay_within_the_bound() {
    for seed in 0..SEEDS {
        let mut fleet = ReplayFleet::new(OverloadControl::On, 200 + seed);
        fleet.run(SETTLED, |_| 1.0);
        let flood = |customer: usize| ((customer as u64 + seed) % 8 + 1) as f64;
        for _ in 0..6 {
            let away = fleet.random.random_range(1_000..4_000);
            fleet.lose_leader(away);
            for _ in 0..5 {
                let index = fleet.random.random_range(0..INSTANCES);
                let down = fleet.random.random_range(500..2_000);
                fleet.restart(index, down, 100);
                fleet.run(fleet.now + away / 5, flood);
            }
            let served = fleet.random.random_range(200..2_500);
            fleet.run(fleet.now + served, flood);
        }
        check_windows(&fleet, &format!("seed {seed}"));
    }
}

/// Returns the refused and all operations of each customer from a loss of the leader for 4 s until
/// 2 s after its return, with all customers at half of their rate.
fn run_at_half_rate(seed: u64) -> Vec<(usize, usize)> {
    let mut fleet = ReplayFleet::new(OverloadControl::On, seed);
    fleet.run(2 * SETTLED, |_| 1.0);
    let from = fleet.now;
    fleet.lose_leader(4_000);
    fleet.run(from + 6_000, |_| 1.0);
    check_windows(&fleet, &format!("seed {seed}"));
    let customers = fleet.customers.iter();
    customers
        .map(|customer| customer.refused_between(from, from + 6_000))
        .collect()
}

fn sum(counts: impl IntoIterator<Item = (usize, usize)>) -> (usize, usize) {
    counts
        .into_iter()
        .fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1))
}

/// Guards against refusals of the largest customer's operations, which its limit allows.
#[test]
fn the_largest_customer_at_half_its_rate_is_served_without_a_leader() {
    let (refused, all) = sum((0..SEEDS).map(|seed| run_at_half_rate(300 + seed)[0]));
    assert!(refused * 100 < all, "{refused} of {all}");
}

/// Guards against refusals of operations that the customers' limits allow, also of customers that
/// have less than two operations on each instance within the bound of a window.
#[test]
fn customers_at_half_of_their_rate_are_served_without_a_leader() {
    let (refused, all) = sum((0..SEEDS).flat_map(|seed| run_at_half_rate(300 + seed)));
    assert!(refused * 100 < all, "{refused} of {all}");
}

/// An instance starts 0.4 s before its first grant. Guards against refusals before that grant of
/// operations that can still meet their timeout.
#[test]
fn a_started_instance_refuses_nothing_before_its_first_grant() {
    for seed in 400..404 {
        let mut fleet = ReplayFleet::new(OverloadControl::On, seed);
        fleet.run(SETTLED, |_| 1.0);
        for index in 0..20 {
            fleet.restart(index, 1_000, 400);
        }
        fleet.run(fleet.now + 3_000, |_| 1.0);
        assert_eq!(fleet.refused_at_start, 0, "seed {seed}");
        check_windows(&fleet, &format!("seed {seed}"));
    }
}
