//! Failures of the share pools and of the messages to and from them.

use mustardhinge_core::overload::OverloadControl;
use rand::RngExt;

use super::replay_fleet::ReplayFleet;
use super::replay_zone::ZONES;
use super::{INSTANCES, SETTLED, check_windows, sum};

/// Number of runs of each test, each with another seed.
const SEEDS: u64 = 6;

fn settled(seed: u64) -> ReplayFleet {
    let mut fleet = ReplayFleet::new(OverloadControl::On, seed);
    fleet.run(2 * SETTLED, |_| 1.0);
    fleet
}

fn flood(seed: u64) -> impl Fn(usize) -> f64 {
    move |customer| ((customer as u64 + seed) % 8 + 1) as f64
}

/// Guards against operations that lost, repeated, late or reordered messages create.
#[test]
fn floods_stay_within_the_bound_if_messages_to_pools_are_lost_and_repeated() {
    for seed in 500..500 + SEEDS {
        let mut fleet = settled(seed);
        fleet.zones.loss = 0.1;
        fleet.zones.duplicates = 0.3;
        fleet.zones.max_delay = 150;
        fleet.lose_leader(6_000);
        fleet.run(fleet.now + 12_000, flood(seed));
        check_windows(&fleet, &format!("seed {seed}"));
    }
}

/// Guards against deposits that count in the pools of two processes.
#[test]
fn floods_stay_within_the_bound_if_the_keepers_of_pools_restart() {
    for seed in 510..510 + SEEDS {
        let mut fleet = settled(seed);
        fleet.zones.duplicates = 0.3;
        fleet.zones.max_delay = 150;
        fleet.lose_leader(8_000);
        for _ in 0..4 {
            fleet.run(fleet.now + 1_500, flood(seed));
            let keeper = fleet.random.random_range(0..ZONES);
            fleet.restart(keeper, 50, 100);
        }
        fleet.run(fleet.now + 8_000, flood(seed));
        check_windows(&fleet, &format!("seed {seed}"));
    }
}

/// Cuts two fifths of the instances off from the leader, which comes back to the others.
fn run_with_one_side(seed: u64, away: impl Fn(&mut ReplayFleet)) -> ReplayFleet {
    let mut fleet = settled(seed);
    let is_cut = |index: &usize| (index + seed as usize) % 5 < 2;
    away(&mut fleet);
    fleet.cut_from_leader = (0..INSTANCES).filter(is_cut).collect();
    fleet.run(fleet.now + 5_000, flood(seed));
    fleet
}

/// Guards against shares that are used on both sides: lent to instances that are still isolated,
/// and granted again by the leader to those that have returned.
#[test]
fn floods_stay_within_the_bound_if_the_leader_returns_on_one_side() {
    let away = |fleet: &mut ReplayFleet| {
        fleet.cut_from_leader = (0..INSTANCES).collect();
        fleet.run(fleet.now + 2_500, |_| 4.0);
    };
    for seed in 520..520 + SEEDS {
        let mut fleet = run_with_one_side(seed, away);
        fleet.cut_from_leader.clear();
        fleet.run(fleet.now + 5_000, flood(seed));
        check_windows(&fleet, &format!("seed {seed}"));
    }
}

/// Guards against a new leader that grants the whole rate to the instances that it hears from,
/// while the others still use shares of its predecessor.
#[test]
fn floods_stay_within_the_bound_if_a_new_leader_is_known_on_one_side() {
    let away = |fleet: &mut ReplayFleet| {
        fleet.lose_leader(2_500);
        fleet.run(fleet.now + 2_500, |_| 4.0);
    };
    for seed in 550..550 + SEEDS {
        let fleet = run_with_one_side(seed, away);
        check_windows(&fleet, &format!("seed {seed}"));
    }
}

/// Returns the refused and all operations of customers at half of their rate while the leader is
/// lost for 4 s and the keepers of the pools are as `fail` leaves them.
fn run_at_half_rate(seed: u64, fail: impl Fn(&mut ReplayFleet)) -> (usize, usize) {
    let mut fleet = settled(seed);
    let from = fleet.now;
    fleet.lose_leader(4_000);
    fail(&mut fleet);
    fleet.run(from + 6_000, |_| 1.0);
    check_windows(&fleet, &format!("seed {seed}"));
    let customers = fleet.customers.iter();
    sum(customers.map(|customer| customer.refused_between(from, from + 6_000)))
}

/// Guards against instances that keep lending to a pool that doesn't respond. Before the pools
/// existed, 11.1 % was refused.
#[test]
fn unreachable_pools_cost_no_more_than_having_none() {
    let cut_off = |fleet: &mut ReplayFleet| fleet.zones.cut_off = (0..ZONES).collect();
    let (refused, all) = sum((530..530 + SEEDS).map(|seed| run_at_half_rate(seed, cut_off)));
    assert!(refused * 1_000 < all * 111, "{refused} of {all}");
}

/// Guards against a lost message after which a pool is not used any more. The bound is that of the
/// replay without losses.
#[test]
fn lost_messages_to_pools_refuse_few_operations() {
    let lose = |fleet: &mut ReplayFleet| fleet.zones.loss = 0.01;
    let (refused, all) = sum((540..540 + SEEDS).map(|seed| run_at_half_rate(seed, lose)));
    assert!(refused * 100 < all, "{refused} of {all}");
}

/// Guards against a new leader that reserves most of the small customers' rates for an instance
/// which has ended. The bound is that of the replay in which all instances return.
#[test]
fn an_instance_that_has_ended_refuses_few_operations_at_a_new_leader() {
    let end_one = |fleet: &mut ReplayFleet| fleet.restart(40, 10_000, 100);
    let (refused, all) = sum((560..560 + SEEDS).map(|seed| run_at_half_rate(seed, end_one)));
    assert!(refused * 100 < all, "{refused} of {all}");
}
