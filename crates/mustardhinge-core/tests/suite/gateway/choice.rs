//! The choice of a target's gateways.

use std::collections::HashMap;
use std::net::SocketAddr;

use mustardhinge_core::gateway::{GatewayCandidate, GatewayChoice, GatewayPair, GatewayRank};
use mustardhinge_core::prelude::{InstanceId, TargetId, ZoneId};
use proptest::prelude::*;

struct Candidate {
    instance: InstanceId,
    zone: ZoneId,
    weight: u16,
    address: SocketAddr,
}

fn fleet(count: usize, weight: impl Fn(usize) -> u16) -> Vec<Candidate> {
    let make = |index: usize| Candidate {
        instance: format!("i-{index}").parse().unwrap(),
        zone: ["a", "b", "c"][index % 3].parse().unwrap(),
        weight: weight(index),
        address: format!("10.0.{}.{}:7000", index / 250, index % 250 + 1)
            .parse()
            .unwrap(),
    };
    (0..count).map(make).collect()
}

fn choose(target: usize, zone: &str, fleet: &[Candidate]) -> Option<GatewayPair> {
    let target: TargetId = format!("t-{target}").parse().unwrap();
    let candidates = fleet.iter().map(|candidate| GatewayCandidate {
        instance: &candidate.instance,
        zone: &candidate.zone,
        address: candidate.address,
        weight: candidate.weight,
    });
    GatewayChoice::choose(&target, &zone.parse().unwrap(), candidates)
}

#[test]
fn gateways_are_two_instances_of_the_targets_zone() {
    let fleet = fleet(60, |_| 10);
    for target in 0..50 {
        let pair = choose(target, "b", &fleet).unwrap();
        let second = pair.second.unwrap();
        assert_ne!(pair.first, second);
        for address in [pair.first, second] {
            let chosen = fleet.iter().find(|one| one.address == address).unwrap();
            assert_eq!(chosen.zone.as_str(), "b");
        }
        assert_eq!(pair.rank_of(pair.first), GatewayRank::First);
        assert_eq!(pair.rank_of(second), GatewayRank::Second);
    }
    assert_eq!(choose(1, "elsewhere", &fleet), None);
}

#[test]
fn a_zone_with_one_instance_has_one_gateway() {
    let fleet = fleet(1, |_| 10);
    assert_eq!(choose(1, "a", &fleet).unwrap().second, None);
}

/// A stopping instance has weight 0. Guards against choosing it as a gateway.
#[test]
fn an_instance_without_weight_is_no_gateway() {
    let fleet = fleet(60, |index| if index < 30 { 0 } else { 10 });
    for target in 0..50 {
        let pair = choose(target, "a", &fleet).unwrap();
        for address in [Some(pair.first), pair.second].into_iter().flatten() {
            let chosen = fleet.iter().find(|one| one.address == address).unwrap();
            assert!(chosen.weight > 0);
        }
    }
}

/// An instance with four times the CPU capacity serves about four times as many targets.
#[test]
fn targets_are_distributed_by_weight() {
    let fleet = fleet(60, |index| if index < 3 { 40 } else { 10 });
    let mut taken: HashMap<SocketAddr, u32> = HashMap::new();
    for target in 0..6_000 {
        let pair = choose(target, "a", &fleet).unwrap();
        *taken.entry(pair.first).or_default() += 1;
    }
    // 19 instances of weight 10 and one of 40 in the zone: 6,000 x 40 / 230.
    let large = f64::from(taken[&fleet[0].address]);
    assert!((large - 1_043.0).abs() < 150.0, "{large}");
}

proptest! {
    /// When an instance stops, only its own targets are reassigned, to their second gateway.
    #[test]
    fn a_stop_moves_only_its_own_targets(stopped in 0_usize..60, target in 0_usize..1_000) {
        let mut fleet = fleet(60, |_| 10);
        let before = choose(target, "a", &fleet).unwrap();
        let gone = fleet.remove(stopped);
        let after = choose(target, "a", &fleet).unwrap();
        if before.first == gone.address {
            prop_assert_eq!(Some(after.first), before.second);
        } else {
            prop_assert_eq!(after.first, before.first);
            if before.second != Some(gone.address) {
                prop_assert_eq!(after.second, before.second);
            }
        }
    }
}
