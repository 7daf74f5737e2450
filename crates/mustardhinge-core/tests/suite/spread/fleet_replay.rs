//! Replays of the failures that outdated information about load can cause.

use super::fleet_model::{FleetCase, FleetModel, SecondFigures, TARGETS};

const SEEDS: std::ops::Range<u64> = 0..4;
/// The last second is left out, since its reads may still run.
const SECONDS: std::ops::Range<usize> = 0..11;

fn in_time(seconds: &[SecondFigures]) -> f64 {
    let came: usize = seconds.iter().map(|second| second.came).sum();
    let in_time: usize = seconds.iter().map(|second| second.in_time).sum();
    in_time as f64 / came.max(1) as f64
}

/// Returns the part of the reads that each target got.
fn parts(seconds: &[SecondFigures]) -> [f64; TARGETS] {
    let sent = [0, 1, 2].map(|target| seconds.iter().map(|second| second.sent[target]).sum());
    let total: usize = sent.iter().sum();
    sent.map(|sent: usize| sent as f64 / total.max(1) as f64)
}

/// Checks that reads are in time and that no target gets more than 1.2 times the mean.
fn check_even(case: FleetCase, name: &str) {
    for seed in SEEDS {
        let seconds = &FleetModel::replay(case, seed)[SECONDS];
        let (in_time, parts) = (in_time(seconds), parts(seconds));
        assert!(in_time >= 0.99, "{name}, seed {seed}: {in_time}");
        for part in parts {
            assert!(
                part <= 1.2 / TARGETS as f64,
                "{name}, seed {seed}: {parts:?}"
            );
        }
    }
}

/// Guards against targets that are overloaded in turn while others idle, at different numbers of
/// instances.
#[test]
fn load_is_even_at_any_number_of_instances() {
    for instances in [1, 7, 76, 300] {
        let case = FleetCase {
            instances,
            known_instances: instances,
            load: 0.85,
            ..FleetCase::default()
        };
        check_even(case, &format!("{instances} instances"));
    }
}

/// Guards against an overload of one target because no report arrives.
#[test]
fn load_is_even_without_reports() {
    for instances in [7, 76] {
        let case = FleetCase {
            instances,
            known_instances: instances,
            report: |_, _| None,
            ..FleetCase::default()
        };
        check_even(case, "lost");
    }
}

/// Guards against a herd that follows late reports.
#[test]
fn load_is_even_with_late_reports() {
    for report_delay in [100, 400] {
        let case = FleetCase {
            instances: 7,
            known_instances: 7,
            report_delay,
            ..FleetCase::default()
        };
        check_even(case, "late");
    }
}

/// Guards against a target that is excluded or overloaded by reports of an earlier process, which
/// alternate with true ones.
#[test]
fn load_is_even_with_contradictory_reports() {
    let favorable = FleetCase {
        report: |load, now| Some(if now % 2 == 0 { 0 } else { load }),
        ..FleetCase::default()
    };
    check_even(favorable, "favorable");
    let adverse = FleetCase {
        report: |load, now| Some(if now % 2 == 0 { 60 } else { load }),
        ..FleetCase::default()
    };
    check_even(adverse, "adverse");
}

/// Guards against a dependence on the leader: the number of instances that it last told is wrong
/// for as long as it is gone.
#[test]
fn load_is_even_with_a_wrong_number_of_instances() {
    for (instances, known_instances) in [(300, 7), (7, 300), (76, 8)] {
        let case = FleetCase {
            instances,
            known_instances,
            ..FleetCase::default()
        };
        check_even(case, &format!("{known_instances} known of {instances}"));
    }
}

/// Guards against reads for a gateway that froze after a favorable report, and against its
/// exclusion after it responds again.
#[test]
fn a_frozen_target_gets_little_and_returns() {
    for seed in SEEDS {
        let case = FleetCase {
            instances: 7,
            known_instances: 7,
            load: 0.55,
            runs: |target, now| target != 0 || !(3_000..5_000).contains(&now),
            ..FleetCase::default()
        };
        let seconds = FleetModel::replay(case, seed);
        let frozen = parts(&seconds[3..5]);
        assert!(frozen[0] < 0.08, "seed {seed}: {frozen:?}");
        assert!(in_time(&seconds[3..5]) > 0.9, "seed {seed}: {seconds:?}");
        assert!(in_time(&seconds[6..11]) > 0.99, "seed {seed}: {seconds:?}");
        let after = parts(&seconds[6..11]);
        assert!(after[0] > 0.8 / TARGETS as f64, "seed {seed}: {after:?}");
    }
}

/// Guards against an overload of the third zone while the first and the second don't reach each
/// other, and against an exclusion that lasts longer than the partition.
#[test]
fn a_partition_between_two_zones_overloads_no_target() {
    for seed in SEEDS {
        let case = FleetCase {
            instances: 9,
            known_instances: 9,
            load: 0.6,
            reaches: |instance, target, now| {
                let is_cut = (2_000..8_000).contains(&now);
                let pair = (instance % TARGETS, target);
                !(is_cut && (pair == (0, 1) || pair == (1, 0)))
            },
            ..FleetCase::default()
        };
        let seconds = FleetModel::replay(case, seed);
        let cut = parts(&seconds[2..8]);
        // Two thirds of the reads can go to any two targets: none needs more than 0.45.
        assert!(cut.iter().all(|part| *part < 0.45), "seed {seed}: {cut:?}");
        assert!(in_time(&seconds[2..8]) > 0.9, "seed {seed}: {seconds:?}");
        let after = parts(&seconds[9..11]);
        assert!(
            after.iter().all(|part| *part > 0.27),
            "seed {seed}: {after:?}"
        );
        assert!(in_time(&seconds[9..11]) > 0.99, "seed {seed}: {seconds:?}");
    }
}

/// Guards against bytes between zones where each zone's replica has capacity.
#[test]
fn reads_stay_in_their_zone() {
    let case = FleetCase {
        has_zones: true,
        ..FleetCase::default()
    };
    check_even(case, "zones");
}
