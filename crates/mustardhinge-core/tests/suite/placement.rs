//! Placement of statements, and the log positions that their targets must have applied.

use std::time::Duration;

use mustardhinge_core::placement::{
    LatencyEstimate, PlacementCandidate, PositionHistory, ReadPlacement, ReplicaLag,
};
use mustardhinge_core::prelude::{LeaderTerm, LogPosition, MonotonicTime};
use proptest::prelude::*;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn position(offset: u64) -> LogPosition {
    LogPosition::new(LeaderTerm::new(1), offset)
}

fn candidate() -> PlacementCandidate {
    PlacementCandidate {
        is_primary: false,
        is_same_zone: true,
        is_leaving: false,
        is_failing: false,
        lacks_position: false,
        is_too_stale: false,
        in_flight: 0,
        slots: 5,
        typical_latency: Duration::from_millis(30),
        has_connection: true,
    }
}

#[test]
fn a_read_requires_the_oldest_position_that_is_recent_enough() {
    let mut history = PositionHistory::default();
    for step in 0..50 {
        history.observe(at(1_000 + step * 100), position(step));
    }
    assert_eq!(history.floor_since(at(3_000)), Some(position(20)));
    assert_eq!(history.floor_since(at(5_901)), None);
}

proptest! {
    /// A floor covers every write that was acknowledged before the requested time.
    #[test]
    fn a_floor_covers_all_that_was_acknowledged(
        gaps in prop::collection::vec(1_u64..120, 1..80),
        since in 0_u64..6_000,
    ) {
        let mut history = PositionHistory::default();
        let (mut now, mut seen) = (0, Vec::new());
        for (index, gap) in gaps.iter().enumerate() {
            now += gap;
            history.observe(at(now), position(index as u64));
            seen.push((now, index as u64));
        }
        // Every write covered by an observation at `time` was acknowledged before `time`.
        let acknowledged = seen.iter().filter(|(time, _)| *time <= since).map(|(_, offset)| *offset).max();
        if let (Some(floor), Some(acknowledged)) = (history.floor_since(at(since)), acknowledged) {
            prop_assert!(floor.offset >= acknowledged);
        }
        let newest = seen.last().copied();
        prop_assert_eq!(history.newest(), newest.map(|(time, offset)| (at(time), position(offset))));
    }
}

#[test]
fn an_idle_target_of_another_zone_is_preferred_to_a_full_one_of_the_same_zone() {
    let full = PlacementCandidate {
        in_flight: 5,
        ..candidate()
    };
    let far = PlacementCandidate {
        is_same_zone: false,
        ..candidate()
    };
    assert_eq!(ReadPlacement::choose(&[full, far], &[]), Some(1));
}

#[test]
fn a_read_avoids_the_primary_unless_replicas_cost_more() {
    let primary = PlacementCandidate {
        is_primary: true,
        ..candidate()
    };
    let far = PlacementCandidate {
        is_same_zone: false,
        ..candidate()
    };
    assert_eq!(ReadPlacement::choose(&[primary, far], &[]), Some(1));
    let behind = PlacementCandidate {
        lacks_position: true,
        ..candidate()
    };
    assert_eq!(ReadPlacement::choose(&[primary, behind], &[]), Some(0));
}

#[test]
fn a_failing_target_is_the_last_choice_and_tried_once() {
    let failing = PlacementCandidate {
        is_failing: true,
        ..candidate()
    };
    let behind = PlacementCandidate {
        lacks_position: true,
        ..candidate()
    };
    assert_eq!(ReadPlacement::choose(&[failing, behind], &[]), Some(1));
    assert_eq!(ReadPlacement::choose(&[failing, behind], &[1]), Some(0));
    assert_eq!(ReadPlacement::choose(&[failing, behind], &[0, 1]), None);
}

#[test]
fn a_slow_target_is_tried_again_after_a_while() {
    let mut latency = LatencyEstimate::default();
    for step in 0..40 {
        latency.record(Duration::from_millis(400), at(step * 10));
    }
    assert!(latency.typical(at(400)) > Duration::from_millis(300));
    assert!(latency.typical(at(5_000)) < Duration::from_millis(50));
}

/// Replicas lag by three seconds while 100 reads per second allow a staleness of 1.5 s. Guards
/// against sending each read to a lagging replica first: all but a few that check the lag again
/// must go to the primary directly.
#[test]
fn replicas_that_lag_too_far_are_skipped() {
    let age = Duration::from_millis(1_500);
    let mut history = PositionHistory::default();
    let mut lag = ReplicaLag::default();
    let mut attempts = 0;
    for now in (0..10_000).step_by(10) {
        history.observe(at(now), position(now));
        if now < 4_000 || !lag.may_serve(age, at(now)) {
            continue;
        }
        lag.record_attempt(at(now));
        attempts += 1;
        let applied = position(now - 3_000);
        lag.record(history.covered_until(applied, at(now)).unwrap(), at(now));
    }
    // At most three attempts in each of six seconds.
    assert!(attempts <= 18, "{attempts}");
    // After the replica has caught up and one read has observed it, all reads are sent to it.
    lag.record(at(9_990), at(10_000));
    assert!(lag.may_serve(age, at(10_001)));
}

#[test]
fn a_replica_with_the_newest_known_position_is_not_behind() {
    let mut history = PositionHistory::default();
    history.observe(at(1_000), position(7));
    assert_eq!(
        history.covered_until(position(7), at(9_000)),
        Some(at(9_000))
    );
    assert_eq!(
        history.covered_until(position(6), at(9_000)),
        Some(at(1_000))
    );
}

/// In a burst, all targets that are not leaving can be full. Guards against sending the read to a
/// leaving target after the others were tried: the read is refused instead, unless all targets of
/// the group are leaving.
#[test]
fn a_leaving_target_gets_nothing_while_others_stay() {
    let leaving = PlacementCandidate {
        is_leaving: true,
        ..candidate()
    };
    assert_eq!(ReadPlacement::choose(&[candidate(), leaving], &[0]), None);
    assert_eq!(ReadPlacement::choose(&[leaving, leaving], &[0]), Some(1));
    let primary = PlacementCandidate {
        is_primary: true,
        ..leaving
    };
    // A leaving primary is used under its lease until it has handed over its role.
    assert_eq!(
        ReadPlacement::choose(&[candidate(), primary], &[0]),
        Some(1)
    );
}
