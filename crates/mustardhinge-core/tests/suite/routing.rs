//! Read requirements and read routing.

use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::FloorHistory;
use mustardhinge_core::routing::{ReadQuery, ReadRoute, ReadRouter, RouterSettings, TargetState};
use mustardhinge_core::session::{ReadRequirement, ReadToken, SessionFloor};
use proptest::prelude::*;

use crate::group::target;

const AGE: Duration = Duration::from_millis(1_000);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn position(offset: u64) -> LogPosition {
    LogPosition::new(LeaderTerm::new(1), offset)
}

fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

/// Returns a primary and two replicas in zones a, b and c with the given applied offsets.
fn targets(applied: [u64; 3]) -> Vec<TargetState> {
    let state = |(index, (offset, name)): (usize, (u64, &str))| TargetState {
        target: target(index),
        zone: zone(name),
        applied: position(offset),
        is_primary: index == 0,
        in_flight: 0,
        slots: 2,
        is_draining: false,
        is_unresponsive: false,
    };
    applied
        .into_iter()
        .zip(["a", "b", "c"])
        .enumerate()
        .map(state)
        .collect()
}

fn query(requirement: ReadRequirement) -> ReadQuery {
    ReadQuery {
        requirement,
        arrived_at: at(2_000),
        deadline: at(7_000),
        is_repeatable: true,
    }
}

/// Returns a history with floors 5 at 500 ms, 8 at 1500 ms and 9 at 1990 ms.
fn history() -> FloorHistory {
    let mut history = FloorHistory::new();
    for (millis, offset) in [(500, 5), (1_500, 8), (1_990, 9)] {
        history.record(at(millis), position(offset));
    }
    history
}

fn route(requirement: ReadRequirement, targets: &[TargetState], now: u64) -> ReadRoute {
    let router = ReadRouter::new(zone("c"), RouterSettings::new());
    router.route(&query(requirement), targets, &history(), at(now))
}

fn replica(index: usize, hedge: Option<usize>) -> ReadRoute {
    ReadRoute::Replica {
        target: target(index),
        hedge: hedge.map(target),
    }
}

#[test]
fn a_token_round_trips_through_text() {
    let token: ReadToken = "3/1042".parse().unwrap();
    assert_eq!(token.to_string(), "3/1042");
    assert_eq!("0/0".parse(), Ok(ReadToken::default()));
    assert!("3-1042".parse::<ReadToken>().is_err());
}

#[test]
fn a_session_with_a_token_reads_its_own_writes() {
    let mut floor = SessionFloor::of_session(Some(ReadToken::default()));
    assert_eq!(
        floor.requirement(None),
        ReadRequirement::Floor(LogPosition::default())
    );
    assert_eq!(floor.advance(position(7)), ReadToken::new(position(7)));
    floor.advance(position(6));
    assert_eq!(floor.requirement(None), ReadRequirement::Floor(position(7)));
    let aged = ReadRequirement::FloorAndMaxAge(position(7), AGE);
    assert_eq!(floor.requirement(Some(AGE)), aged);
}

#[test]
fn a_session_without_a_token_needs_a_floor_whatever_the_age() {
    let mut floor = SessionFloor::of_session(None);
    assert_eq!(floor.requirement(Some(AGE)), ReadRequirement::FreshFloor);
    floor.advance(position(7));
    assert_eq!(floor.requirement(Some(AGE)), ReadRequirement::FreshFloor);
    assert_eq!(
        SessionFloor::Anonymous.requirement(Some(AGE)),
        ReadRequirement::MaxAge(AGE)
    );
}

#[test]
fn a_replica_at_the_floor_is_preferred_to_the_primary() {
    let floor = ReadRequirement::Floor(position(8));
    assert_eq!(route(floor, &targets([9, 8, 7]), 2_000), replica(1, None));
    assert_eq!(route(floor, &targets([9, 8, 8]), 2_000), replica(2, None));
}

#[test]
fn a_replica_that_is_nearly_current_is_waited_for() {
    let floor = ReadRequirement::Floor(position(10));
    let wait = ReadRoute::WaitFor {
        target: target(2),
        floor: position(10),
        until: at(2_005),
    };
    assert_eq!(route(floor, &targets([9, 8, 9]), 2_000), wait);
}

#[test]
fn a_read_waits_briefly_for_a_replica_although_the_primary_is_available() {
    let mut history = FloorHistory::new();
    history.record(at(1_000), position(8));
    history.record(at(1_999), position(9));
    let router = ReadRouter::new(zone("c"), RouterSettings::new());
    let query = query(ReadRequirement::Floor(position(9)));
    let route = |now| router.route(&query, &targets([9, 8, 8]), &history, at(now));
    let wait = ReadRoute::WaitFor {
        target: target(2),
        floor: position(9),
        until: at(2_005),
    };
    assert_eq!(route(2_000), wait);
    assert_eq!(route(2_005), ReadRoute::Primary(target(0)));
}

#[test]
fn a_lagging_replica_is_not_waited_for() {
    let floor = ReadRequirement::Floor(position(9));
    let primary = ReadRoute::Primary(target(0));
    assert_eq!(route(floor, &targets([9, 5, 6]), 2_000), primary);
}

#[test]
fn a_primary_behind_the_floor_serves_no_read() {
    let floor = ReadRequirement::Floor(position(12));
    let wait = ReadRoute::WaitFor {
        target: target(0),
        floor: position(12),
        until: at(2_500),
    };
    assert_eq!(route(floor, &targets([9, 5, 6]), 2_000), wait);
    let ReadRoute::Refuse { reason, .. } = route(floor, &targets([9, 5, 6]), 2_500) else {
        panic!("the read was not refused at the end of the wait");
    };
    assert_eq!(reason, RefusalReason::FloorNotReached);
}

#[test]
fn max_age_allows_lagging_replicas_that_have_applied_the_sessions_floor() {
    let lagging = targets([9, 7, 8]);
    let anonymous = ReadRequirement::MaxAge(AGE);
    assert_eq!(route(anonymous, &lagging, 2_000), replica(2, None));
    let long = ReadRequirement::MaxAge(2 * AGE);
    assert_eq!(route(long, &lagging, 2_000), replica(2, Some(1)));
    let session = ReadRequirement::FloorAndMaxAge(position(9), 2 * AGE);
    assert_eq!(
        route(session, &lagging, 2_000),
        ReadRoute::Primary(target(0))
    );
}

#[test]
fn only_a_read_that_may_be_repeated_is_hedged() {
    let requirement = ReadRequirement::MaxAge(2 * AGE);
    let query = ReadQuery {
        is_repeatable: false,
        ..query(requirement)
    };
    let router = ReadRouter::new(zone("c"), RouterSettings::new());
    let route = router.route(&query, &targets([9, 9, 9]), &history(), at(2_000));
    assert_eq!(route, replica(2, None));
}

#[test]
fn a_max_age_without_a_recent_floor_needs_a_floor_round() {
    let anonymous = ReadRequirement::MaxAge(AGE);
    assert_eq!(
        route(anonymous, &targets([9, 9, 9]), 2_991),
        ReadRoute::NeedsFloor
    );
    assert_eq!(
        route(ReadRequirement::FreshFloor, &targets([9, 9, 9]), 2_000),
        ReadRoute::NeedsFloor
    );
    let known = ReadRequirement::FreshFloor.with_floor(position(9));
    assert_eq!(route(known, &targets([9, 9, 8]), 2_000), replica(1, None));
}

#[test]
fn draining_and_unresponsive_targets_get_no_reads() {
    let floor = ReadRequirement::Floor(position(8));
    let mut states = targets([9, 9, 9]);
    states[2].is_draining = true;
    assert_eq!(route(floor, &states, 2_000), replica(1, None));
    states[1].is_unresponsive = true;
    assert_eq!(route(floor, &states, 2_000), ReadRoute::Primary(target(0)));
    states[0].is_draining = true;
    let ReadRoute::Refuse { reason, .. } = route(floor, &states, 2_000) else {
        panic!("the read was not refused although no target is available");
    };
    assert_eq!(reason, RefusalReason::NoTarget);
}

#[test]
fn load_outweighs_zone_and_spills_over_to_the_primary() {
    let floor = ReadRequirement::Floor(position(8));
    let mut states = targets([9, 9, 9]);
    states[2].in_flight = 2;
    assert_eq!(route(floor, &states, 2_000), replica(1, None));
    states[1].in_flight = 8;
    states[2].in_flight = 8;
    assert_eq!(route(floor, &states, 2_000), ReadRoute::Primary(target(0)));
    states[0].in_flight = 8;
    assert_eq!(route(floor, &states, 2_000), replica(2, None));
}

proptest! {
    #[test]
    fn no_read_goes_to_a_target_behind_its_floor(
        applied in proptest::array::uniform3(0..12_u64),
        draining in proptest::array::uniform3(any::<bool>()),
        load in proptest::array::uniform3(0..9_u32),
        floor in 0..12_u64,
        age in proptest::option::of(0..3_000_u64),
        now in 2_000..3_000_u64,
    ) {
        let mut states = targets(applied);
        for (index, state) in states.iter_mut().enumerate() {
            state.is_draining = draining[index];
            state.in_flight = load[index];
        }
        let floor = position(floor);
        let requirement = match age {
            Some(age) => ReadRequirement::FloorAndMaxAge(floor, Duration::from_millis(age)),
            None => ReadRequirement::Floor(floor),
        };
        let chosen = match route(requirement, &states, now) {
            ReadRoute::Replica { target, hedge } => [Some(target), hedge],
            ReadRoute::Primary(target) => [Some(target), None],
            _ => [None, None],
        };
        for target in chosen.into_iter().flatten() {
            let state = states.iter().find(|state| state.target == target).unwrap();
            prop_assert!(state.applied >= floor && !state.is_draining);
            if let Some(age) = age {
                let fresh_at = history().fresh_at(state.applied);
                prop_assert!(fresh_at >= Some(at(now) - Duration::from_millis(age)));
            }
        }
    }
}
