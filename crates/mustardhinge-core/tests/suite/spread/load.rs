//! The expected load of a target, from reports and own statements.

use std::time::Duration;

use mustardhinge_core::placement::{LoadEstimate, TargetLoad};
use mustardhinge_core::prelude::MonotonicTime;

const SLOTS: usize = 5;
const LATENCY: Duration = Duration::from_millis(24);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn estimate(load: &TargetLoad, now: u64) -> LoadEstimate {
    load.estimate(SLOTS, LATENCY, at(now))
}

/// Guards against a report that hides what this instance has sent and got back since.
#[test]
fn own_statements_since_the_report_are_added() {
    let mut load = TargetLoad::default();
    load.record_sent(at(90));
    load.record_report(4, at(100));
    load.record_sent(at(110));
    load.record_sent(at(115));
    assert_eq!(estimate(&load, 120).statements, 6);
    load.record_ended();
    load.record_ended();
    load.record_ended();
    assert_eq!(estimate(&load, 125).statements, 3);
}

/// Guards against the loss of own counts together with an expired report.
#[test]
fn a_report_expires_after_250_ms_and_own_counts_remain() {
    let mut load = TargetLoad::default();
    load.record_report(9, at(100));
    load.record_sent(at(340));
    assert_eq!(estimate(&load, 349).statements, 10);
    let expired = estimate(&load, 350);
    assert_eq!(expired.statements, 1);
    assert_eq!(expired.age, Duration::from_millis(250));
}

/// Guards against a herd right after each report: all instances act on it until the next one.
#[test]
fn the_age_is_at_least_the_usual_interval_between_reports() {
    let mut load = TargetLoad::default();
    load.record_report(4, at(1_000));
    assert_eq!(estimate(&load, 1_001).age, Duration::from_millis(250));
    for step in 1..100 {
        load.record_report(4, at(1_000 + step * 50));
    }
    let usual = estimate(&load, 5_951).age;
    assert!((50..52).contains(&usual.as_millis()), "{usual:?}");
    assert_eq!(estimate(&load, 6_100).age, Duration::from_millis(150));
}

/// Guards against contradictory reports, for example of an earlier gateway process.
#[test]
fn the_newest_received_report_replaces_others() {
    let mut load = TargetLoad::default();
    load.record_report(40, at(100));
    load.record_report(1, at(101));
    assert_eq!(estimate(&load, 102).statements, 1);
    load.record_report(30, at(103));
    assert_eq!(estimate(&load, 104).statements, 30);
}

/// Guards against a gateway that is frozen after a report of no load.
#[test]
fn unanswered_statements_count_against_a_silent_target() {
    let mut load = TargetLoad::default();
    load.record_report(0, at(100));
    load.record_sent(at(101));
    assert!(!estimate(&load, 150).is_silent);
    let silent = estimate(&load, 220);
    assert!(silent.is_silent);
    // 119 ms at 5 slots and 24 ms.
    assert_eq!(silent.statements, 24);
    // After the report has expired as well.
    assert!(estimate(&load, 500).statements > 80);
}

/// Guards against the permanent exclusion of a target that was silent.
#[test]
fn silence_ends_with_the_unanswered_statements_or_a_response() {
    let mut load = TargetLoad::default();
    load.record_sent(at(100));
    load.record_sent(at(100));
    assert!(estimate(&load, 350).is_silent);
    load.record_ended();
    load.record_report(3, at(350));
    assert!(!estimate(&load, 360).is_silent);
    assert!(estimate(&load, 550).is_silent);
    load.record_ended();
    assert!(!estimate(&load, 550).is_silent);
}

/// Guards against an overloaded target that is taken for a silent one: its load explains the wait.
#[test]
fn a_known_queue_is_not_silence() {
    let mut load = TargetLoad::default();
    load.record_report(40, at(100));
    load.record_sent(at(100));
    assert!(!estimate(&load, 300).is_silent);
}

/// Guards against bytes between zones because of a queue at the near target that no report has
/// announced: the wait counts as load, but the target isn't silent before a report would expire.
#[test]
fn a_wait_without_a_report_counts_as_load_before_it_is_silence() {
    let mut load = TargetLoad::default();
    load.record_sent(at(100));
    let waiting = estimate(&load, 220);
    assert!(!waiting.is_silent);
    assert_eq!(waiting.statements, 25);
    assert!(estimate(&load, 350).is_silent);
}
