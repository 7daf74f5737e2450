//! Targets that are slow for some time after their start.

use std::cell::Cell;
use std::time::Duration;

use mustardhinge_core::placement::{
    ColdPeriod, PlacementCandidate, SpreadCandidate, SpreadLimits, SpreadPlacement,
};
use mustardhinge_core::prelude::{LeaderTerm, LogPosition, MonotonicTime, TargetId};
use mustardhinge_core::primary_lease::{ServerStatus, SuccessorChoice};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::default() + Duration::from_millis(millis)
}

/// Guards against a target that stays cold because its heartbeats arrive late or repeat the value
/// that it had at its start.
#[test]
fn only_a_new_process_or_a_greater_value_begins_a_cold_period() {
    let left = Duration::from_millis;
    let mut cold = ColdPeriod::default();
    cold.observe(left(4_000), 1, at(0));
    cold.observe(left(4_000), 1, at(1_000));
    cold.observe(left(3_900), 1, at(2_000));
    assert_eq!(cold.left(at(3_000)), left(1_000));
    assert!((cold.share(at(3_000)) - 0.8125).abs() < 1e-9);
    cold.observe(left(3_900), 1, at(5_000));
    assert!(cold.left(at(5_000)).is_zero() && cold.share(at(5_000)) >= 1.0);
    cold.observe(left(0), 1, at(6_000));
    cold.observe(left(2_000), 1, at(7_000));
    assert!((cold.share(at(7_000)) - 0.25).abs() < 1e-9);
    cold.observe(left(500), 1, at(7_100));
    assert_eq!(cold.left(at(7_100)), left(500));
    cold.observe(left(4_000), 2, at(7_200));
    assert_eq!(cold.left(at(7_200)), left(4_000));
    cold.observe(Duration::MAX, 3, at(8_000));
    assert!(cold.left(at(8_000)) <= Duration::from_secs(600));
}

/// Guards against a warm target that becomes cold again when an instance loses its relay and reads
/// the time that the target always announces.
#[test]
fn a_relayed_time_does_not_count_as_announced() {
    let left = Duration::from_millis;
    let mut cold = ColdPeriod::default();
    cold.observe_relayed(left(0), 1, at(0));
    cold.observe(left(30_000), 1, at(1_000));
    assert!(cold.left(at(1_000)).is_zero());
    let mut cold = ColdPeriod::default();
    cold.observe(left(30_000), 1, at(0));
    cold.observe_relayed(left(0), 1, at(31_000));
    cold.observe(left(30_000), 1, at(32_000));
    assert!(cold.left(at(32_000)).is_zero());
    cold.observe_relayed(left(20_000), 1, at(33_000));
    assert_eq!(cold.left(at(33_000)), left(20_000));
    cold.observe(left(30_000), 1, at(54_000));
    assert!(cold.left(at(54_000)).is_zero());
    cold.observe_relayed(left(5_000), 2, at(55_000));
    assert_eq!(cold.left(at(55_000)), left(5_000));
}

fn candidate(is_failing: bool) -> SpreadCandidate {
    SpreadCandidate {
        target: PlacementCandidate {
            is_primary: false,
            is_same_zone: true,
            is_leaving: false,
            is_failing,
            lacks_position: false,
            is_too_stale: false,
            in_flight: 0,
            slots: 5,
            typical_latency: Duration::from_millis(24),
            has_connection: true,
        },
        age: Duration::from_millis(100),
        is_silent: false,
    }
}

/// Returns the part of 4,000 reads that the first candidate gets.
fn first_part(candidates: &[SpreadCandidate], shares: &[f64]) -> f64 {
    let limits = SpreadLimits {
        max_wait: Duration::from_millis(400),
        senders: 10,
    };
    let mut rng = SmallRng::seed_from_u64(7);
    let share = |index: usize| shares[index];
    let mut choose =
        || SpreadPlacement::choose_with_shares(candidates, limits, &[], share, &mut rng).unwrap();
    let firsts = (0..4_000).filter(|_| choose().index == 0).count();
    firsts as f64 / 4_000.0
}

/// Guards against a cold target that gets its usual share, or nothing, and against reads that are
/// sent to a failing target to spare a cold one.
#[test]
fn a_cold_target_gets_a_part_of_its_usual_reads() {
    let sound = [candidate(false), candidate(false)];
    let usual = first_part(&sound, &[1.0, 1.0]);
    for share in [0.25, 0.625] {
        let part = first_part(&sound, &[share, 1.0]);
        assert!((part - usual * share).abs() < 0.03, "{part} of {usual}");
    }
    let both = first_part(&sound, &[0.25, 0.25]);
    assert!((both - usual).abs() < 0.05, "{both} of {usual}");
    let alone = first_part(&sound[..1], &[0.25]);
    assert!(alone >= 1.0, "{alone}");
    let failing = first_part(&[candidate(false), candidate(true)], &[0.25, 1.0]);
    assert!(failing >= 1.0, "{failing}");
}

proptest! {
    /// Guards against explained probabilities that differ from the choice of the request path.
    #[test]
    fn probabilities_with_cold_targets_match_the_choice(
        targets in prop::collection::vec((any::<bool>(), 0_usize..12, 0.1_f64..1.6), 1..5),
        tried in prop::option::of(0_usize..4),
        seed in any::<u64>(),
    ) {
        let candidates: Vec<_> = targets.iter().map(|(is_failing, in_flight, _)| {
            let mut candidate = candidate(*is_failing);
            candidate.target.in_flight = *in_flight;
            candidate
        }).collect();
        let limits = SpreadLimits { max_wait: Duration::from_millis(400), senders: 10 };
        let tried: Vec<_> = tried.into_iter().collect();
        let share = |index: usize| targets[index].2;
        let expected =
            SpreadPlacement::probabilities_with_shares(&candidates, limits, &tried, share);
        let mut counts = vec![0.0; candidates.len()];
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..2_000 {
            let mut choose =
                || SpreadPlacement::choose_with_shares(&candidates, limits, &tried, share, &mut rng);
            let Some(choice) = choose() else {
                prop_assert!(expected.is_empty());
                return Ok(());
            };
            counts[choice.index] += 1.0 / 2_000.0;
        }
        for (index, count) in counts.into_iter().enumerate() {
            let known = expected.iter().find(|(known, _)| *known == index);
            let probability = known.map_or(0.0, |(_, probability)| *probability);
            // Six standard deviations of 2,000 draws are at most 0.067.
            prop_assert!((count - probability).abs() < 0.067, "{index}: {count} {expected:?}");
        }
    }
}

/// Guards against work that grows with the orders of all cold targets: 16 of them would take longer
/// than the instance's leases last.
#[test]
fn many_cold_targets_need_little_work() {
    let candidates = vec![candidate(false); 16];
    let limits = SpreadLimits {
        max_wait: Duration::from_millis(400),
        senders: 10,
    };
    let shares = Cell::new(0);
    let share = |_| {
        shares.set(shares.get() + 1);
        0.25
    };
    let expected = SpreadPlacement::probabilities_with_shares(&candidates, limits, &[], share);
    let total: f64 = expected.iter().map(|(_, probability)| probability).sum();
    assert!((total - 1.0).abs() < 1e-9, "{total}");
    assert!(shares.get() <= 16 * 16 * 64, "{}", shares.get());
}

fn replica(name: &str, offset: u64) -> ServerStatus {
    let term = LeaderTerm::new(3);
    ServerStatus {
        target: name.parse().unwrap(),
        is_primary: false,
        term,
        received: LogPosition::new(term, offset),
        is_leaving: false,
    }
}

/// Guards against a cold primary while a warm replica can take over, and against a warm one that
/// lacks acknowledged writes.
#[test]
fn a_cold_target_is_promoted_only_if_no_warm_one_can_take_over() {
    let old: TargetId = "old".parse().unwrap();
    let is_cold = |target: &TargetId| target.as_str().starts_with("cold");
    let choose = |servers: &[ServerStatus]| {
        SuccessorChoice::choose_warm(servers, is_cold, &old, LeaderTerm::new(3), false)
    };
    let promote = |name: &str| SuccessorChoice::Promote(name.parse().unwrap());
    let (warm, cold) = (replica("warm", 9), replica("cold", 9));
    assert_eq!(choose(&[warm.clone(), cold.clone()]), promote("warm"));
    assert_eq!(choose(&[replica("warm", 8), cold.clone()]), promote("cold"));
    assert_eq!(choose(std::slice::from_ref(&cold)), promote("cold"));
    let leaving = ServerStatus {
        is_leaving: true,
        ..warm.clone()
    };
    assert_eq!(choose(&[leaving, cold.clone()]), promote("cold"));
    let primary = ServerStatus {
        is_primary: true,
        ..cold
    };
    let kept = SuccessorChoice::Adopt(primary.target.clone(), primary.term);
    assert_eq!(choose(&[warm, primary]), kept);
}
