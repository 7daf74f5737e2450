//! The targets that a customer's reads prefer.

use mustardhinge_core::placement::{CustomerShare, PreferredTargets, TargetAffinity};
use mustardhinge_core::prelude::{CustomerId, TargetId};
use proptest::prelude::*;

fn targets(count: usize) -> Vec<TargetId> {
    let names = (0..count).map(|index| format!("t{index}"));
    names.map(|name| name.parse().unwrap()).collect()
}

fn prefer(customer: &CustomerId, share: f64, targets: &[TargetId]) -> PreferredTargets {
    let share = CustomerShare::new(share, 1.0);
    TargetAffinity::prefer_by_share(customer, share, targets.iter().enumerate())
}

/// Guards against a hot replica: a customer with half of all traffic on one of its targets.
#[test]
fn a_customer_with_half_of_the_traffic_prefers_both_replicas() {
    let customer: CustomerId = "half".parse().unwrap();
    assert_eq!(prefer(&customer, 0.5, &targets(2)).count(), 2);
    assert_eq!(prefer(&customer, 0.5, &targets(3)).count(), 3);
}

/// Guards against connections of small customers to more targets than needed.
#[test]
fn a_small_customer_prefers_the_same_single_target_as_without_overload_control() {
    let targets = targets(3);
    for number in 0..81 {
        let customer: CustomerId = format!("c{number}").parse().unwrap();
        let preferred = prefer(&customer, 1.0 / 81.0, &targets);
        assert_eq!(preferred.count(), 1);
        let single = TargetAffinity::prefer(&customer, &targets).unwrap();
        assert!(preferred.contains(single), "{customer}");
    }
}

/// Guards against a division by zero where no rates are configured.
#[test]
fn without_rates_one_target_is_preferred() {
    let customer: CustomerId = "c".parse().unwrap();
    let share = CustomerShare::new(0.0, 0.0);
    let targets = targets(3);
    let preferred = TargetAffinity::prefer_by_share(&customer, share, targets.iter().enumerate());
    assert_eq!(preferred.count(), 1);
    let none = TargetAffinity::prefer_by_share(&customer, share, []);
    assert_eq!(none, PreferredTargets::default());
}

proptest! {
    /// Guards against a target above 1.2 times the mean because of one customer's affinity.
    #[test]
    fn no_preferred_target_exceeds_the_mean_by_more_than_a_fifth(
        share in 0.0..=1.0_f64,
        count in 1_usize..12,
    ) {
        let width = TargetAffinity::width(CustomerShare::new(share, 1.0), count);
        let load = share / width as f64 + (1.0 - share) / count as f64;
        prop_assert!(load * count as f64 <= 1.2 + 1e-9);
    }

    /// Guards against instances that list the targets in another order and prefer others.
    #[test]
    fn the_preferred_targets_do_not_depend_on_the_order(
        share in 0.0..=1.0_f64,
        count in 1_usize..8,
        turn in 0_usize..8,
    ) {
        let customer: CustomerId = "c1".parse().unwrap();
        let listed = targets(count);
        let mut turned = listed.clone();
        turned.rotate_left(turn % count);
        let preferred = prefer(&customer, share, &listed);
        let other = prefer(&customer, share, &turned);
        for (index, target) in listed.iter().enumerate() {
            let there = turned.iter().position(|known| known == target).unwrap();
            prop_assert_eq!(preferred.contains(index), other.contains(there));
        }
    }
}
