//! The choice among candidates with given load.

use std::time::Duration;

use mustardhinge_core::placement::{
    PlacementCandidate, SpreadCandidate, SpreadLimits, SpreadPlacement,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const LIMITS: SpreadLimits = SpreadLimits {
    max_wait: Duration::from_millis(400),
    senders: 76,
};

fn candidate(in_flight: usize, age_ms: u64) -> SpreadCandidate {
    SpreadCandidate {
        target: PlacementCandidate {
            is_primary: false,
            is_same_zone: false,
            is_leaving: false,
            is_failing: false,
            lacks_position: false,
            is_too_stale: false,
            in_flight,
            slots: 5,
            typical_latency: Duration::from_millis(24),
            has_connection: true,
        },
        age: Duration::from_millis(age_ms),
        is_silent: false,
    }
}

/// Changes the properties of a candidate's target.
fn with(
    candidate: SpreadCandidate,
    change: impl FnOnce(&mut PlacementCandidate),
) -> SpreadCandidate {
    let mut changed = candidate;
    change(&mut changed.target);
    changed
}

fn near(in_flight: usize, age_ms: u64) -> SpreadCandidate {
    with(candidate(in_flight, age_ms), |target| {
        target.is_same_zone = true;
    })
}

/// Returns the part of 2,000 reads that each candidate gets.
fn parts(candidates: &[SpreadCandidate], limits: SpreadLimits, tried: &[usize]) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut counts = vec![0_u32; candidates.len()];
    for _ in 0..2_000 {
        if let Some(choice) = SpreadPlacement::choose(candidates, limits, tried, &mut rng) {
            counts[choice.index] += 1;
        }
    }
    let parts = counts.iter().map(|count| f64::from(*count) / 2_000.0);
    parts.collect()
}

/// Guards against all instances choosing the target whose old report is lowest.
#[test]
fn an_old_report_spreads_reads_over_all_targets() {
    let old = parts(&[candidate(0, 200), candidate(6, 200)], LIMITS, &[]);
    assert!((0.4..0.5).contains(&old[1]), "{old:?}");
}

/// Guards against a choice that ignores a fresh report.
#[test]
fn the_older_the_report_the_wider_the_set() {
    let mut before = 0.0;
    for (age, least, most) in [(1, 0.0, 0.0), (50, 0.3, 0.4), (240, 0.4, 0.5)] {
        let parts = parts(&[candidate(0, age), candidate(6, age)], LIMITS, &[]);
        assert!((least..=most).contains(&parts[1]), "{age}: {parts:?}");
        assert!(parts[1] >= before);
        before = parts[1];
    }
}

/// Guards against needless randomness where no other instance sends: own counts are exact.
#[test]
fn a_single_instance_takes_the_lowest_cost() {
    let limits = SpreadLimits {
        senders: 1,
        ..LIMITS
    };
    let parts = parts(&[candidate(1, 200), candidate(0, 200)], limits, &[]);
    assert_eq!(parts, [0.0, 1.0]);
}

/// Guards against an even division between targets of different speed.
#[test]
fn a_slow_target_gets_less() {
    let slow = with(candidate(2, 200), |target| {
        target.typical_latency = Duration::from_millis(120);
    });
    let parts = parts(&[candidate(2, 200), slow], LIMITS, &[]);
    assert!(parts[1] < 0.3, "{parts:?}");
    assert!(parts[1] > 0.05, "{parts:?}");
}

/// Guards against bytes between zones while the near replica has capacity within the objective.
#[test]
fn zones_are_crossed_only_without_near_capacity() {
    assert_eq!(
        parts(&[near(20, 200), candidate(0, 200)], LIMITS, &[])[1],
        0.0
    );
    let crossed = parts(&[near(60, 200), candidate(0, 200)], LIMITS, &[]);
    assert!(crossed[1] > 0.5, "{crossed:?}");
    // A near replica that can't run the read now doesn't hold it back.
    let behind = with(near(0, 200), |target| target.lacks_position = true);
    assert_eq!(parts(&[behind, candidate(0, 200)], LIMITS, &[])[1], 1.0);
    let stale = with(near(0, 200), |target| target.is_too_stale = true);
    assert_eq!(parts(&[stale, candidate(0, 200)], LIMITS, &[])[1], 1.0);
    assert_eq!(
        parts(&[near(0, 200), candidate(0, 200)], LIMITS, &[0])[1],
        1.0
    );
}

/// Guards against fixed costs that lose their meaning with the age of a report.
#[test]
fn old_reports_open_no_connection_and_use_no_primary() {
    let unconnected = with(candidate(0, 240), |target| target.has_connection = false);
    let primary = with(candidate(0, 240), |target| target.is_primary = true);
    let failing = with(candidate(0, 240), |target| target.is_failing = true);
    let behind = with(candidate(0, 240), |target| target.lacks_position = true);
    let leaving = with(candidate(0, 240), |target| target.is_leaving = true);
    let others = [unconnected, primary, failing, behind, leaving];
    for other in others {
        assert_eq!(parts(&[candidate(0, 240), other], LIMITS, &[])[1], 0.0);
        // It is used if no other target remains.
        assert_eq!(parts(&[candidate(0, 240), other], LIMITS, &[0])[1], {
            if other.target.is_leaving { 0.0 } else { 1.0 }
        });
    }
    // The load of the preferred target outweighs a connection.
    assert!(parts(&[candidate(6, 50), unconnected], LIMITS, &[])[1] > 0.3);
}

/// Guards against reads for a target that has stopped responding after a favorable report.
#[test]
fn a_silent_target_gets_nearly_nothing() {
    let silent = SpreadCandidate {
        is_silent: true,
        ..candidate(24, 120)
    };
    let parts = parts(&[silent, candidate(2, 20)], LIMITS, &[]);
    assert!(parts[0] < 0.02, "{parts:?}");
}

/// Guards against a refusal without an attempt where all targets are full.
#[test]
fn full_targets_share_the_load() {
    let full = parts(&[candidate(300, 10), candidate(300, 10)], LIMITS, &[]);
    assert!((0.4..0.6).contains(&full[0]), "{full:?}");
}
