//! Randomized tests of the invariants of acknowledgement, promotion and read floors.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, TestCaseError, TestRng, TestRunner};

use crate::group::{GroupHarness, InjectedFault, ScheduleStep, schedule};
use crate::property_cases::scaled_cases;

/// Part of the violation message for a lost acknowledged write.
const LOST_WRITE: &str = "was lost";

/// Runs random schedules and returns the first violation whose message contains
/// `expected`.
fn find_violation(
    servers: usize,
    fault: InjectedFault,
    cases: u32,
    expected: &str,
) -> Option<String> {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&schedule(160), |steps: Vec<ScheduleStep>| {
        let run = GroupHarness::new(servers, fault).run(&steps);
        let violations = run.err().unwrap_or_default();
        let found = violations.into_iter().find(|text| text.contains(expected));
        found.map_or(Ok(()), |text| Err(TestCaseError::fail(text)))
    });
    result.err().map(|failure| failure.to_string())
}

#[test]
fn three_servers_lose_no_acknowledged_write() {
    assert_eq!(find_violation(3, InjectedFault::None, 300, ""), None);
}

#[test]
fn five_servers_lose_no_acknowledged_write() {
    assert_eq!(find_violation(5, InjectedFault::None, 200, ""), None);
}

proptest! {
    #![proptest_config(scaled_cases(50))]

    /// Draws other schedules than the tests above, whose seed is fixed.
    #[test]
    fn no_schedule_violates_an_invariant(
        servers in prop_oneof![Just(3_usize), Just(5)],
        steps in schedule(160),
    ) {
        let run = GroupHarness::new(servers, InjectedFault::None).run(&steps);
        prop_assert_eq!(run.err(), None);
    }
}

#[test]
fn the_schedules_promote_and_acknowledge() {
    let mut runner = TestRunner::deterministic();
    let (mut acked, mut promotions) = (0, 0);
    for _ in 0..50 {
        let steps = schedule(160).new_tree(&mut runner).unwrap().current();
        let run = GroupHarness::new(3, InjectedFault::None)
            .run(&steps)
            .unwrap();
        acked += run.0;
        promotions += run.1;
    }
    assert!(
        acked > 250 && promotions > 50,
        "{acked} writes, {promotions} promotions"
    );
}

#[test]
fn an_acknowledgement_by_the_primary_alone_is_detected() {
    let found = find_violation(3, InjectedFault::AckAtPrimary, 400, LOST_WRITE);
    assert!(found.is_some());
}

#[test]
fn an_acknowledgement_by_offset_is_detected() {
    let found = find_violation(3, InjectedFault::AckByOffset, 400, LOST_WRITE);
    assert!(found.is_some());
}

#[test]
fn a_promotion_by_offset_is_detected() {
    let found = find_violation(3, InjectedFault::ChooseByOffset, 3_000, LOST_WRITE);
    assert!(found.is_some());
}

#[test]
fn a_promotion_with_one_grant_is_detected() {
    let found = find_violation(3, InjectedFault::PromoteOnOneGrant, 400, LOST_WRITE);
    assert!(found.is_some());
}

#[test]
fn claimants_with_the_same_name_are_detected() {
    let found = find_violation(
        5,
        InjectedFault::SharedClaimant,
        3_000,
        "were promoted in term",
    );
    assert!(found.is_some());
}

#[test]
fn a_floor_from_older_reports_is_detected() {
    let found = find_violation(3, InjectedFault::StaleFloorReports, 1_000, "does not see");
    assert!(found.is_some());
}

#[test]
fn reads_that_do_not_wait_for_their_rows_are_detected() {
    let found = find_violation(3, InjectedFault::ReleaseReadsAtOnce, 400, "was undone");
    assert!(found.is_some());
}
