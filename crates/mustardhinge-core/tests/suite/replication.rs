//! Tests of server reports, write acknowledgement and read floors.

use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::{
    AckFailure, AckKey, AckOutcome, AckStatus, AckTracker, FloorAction, FloorHistory,
    FloorSettings, FloorTracker, GroupView, ReportError, ServerReport, ServerRole, quorum_floor,
};

use crate::group::{ModelGroup, target};

const TIMEOUT: Duration = Duration::from_millis(100);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn position(term: u64, offset: u64) -> LogPosition {
    LogPosition::new(LeaderTerm::new(term), offset)
}

fn tracker(group: &ModelGroup) -> AckTracker {
    AckTracker::new(group.members(), TIMEOUT)
}

/// Starts the wait for a write at server 0, which alone is not a majority.
fn begin(tracker: &mut AckTracker, written: LogPosition) -> AckKey {
    match tracker.begin(&target(0), written, at(0)) {
        AckStatus::Waiting(key) => key,
        AckStatus::Resolved(outcome) => panic!("resolved by the primary alone: {outcome:?}"),
    }
}

#[test]
fn a_report_is_read_from_its_columns() {
    let report = ServerReport::from_columns(&["t1", "replica", "3", "3/8", "2/7", "t0"]).unwrap();
    assert_eq!(report.role, ServerRole::Replica);
    assert_eq!(report.last, position(3, 8));
    assert_eq!(report.applied, position(2, 7));
    assert_eq!(report.primary, Some(target(0)));
    let fenced = ServerReport::from_columns(&["t1", "fenced", "3", "3/8", "2/7", ""]).unwrap();
    assert_eq!(fenced.primary, None);
}

#[test]
fn a_bad_report_names_its_column() {
    let column = |columns: &[&str]| match ServerReport::from_columns(columns).unwrap_err() {
        ReportError::ColumnCount { found, .. } => found.to_string(),
        ReportError::BadName { column, .. } | ReportError::BadUnit { column, .. } => column.into(),
    };
    assert_eq!(column(&["t1", "replica"]), "2");
    assert_eq!(column(&["t 1", "replica", "3", "3/8", "2/7", ""]), "target");
    assert_eq!(column(&["t1", "leader", "3", "3/8", "2/7", ""]), "role");
    assert_eq!(column(&["t1", "replica", "3", "8", "2/7", ""]), "last");
}

#[test]
fn a_majority_in_the_term_acknowledges() {
    let mut group = ModelGroup::new(3);
    let mut tracker = tracker(&group);
    let (written, _) = group.write(0).unwrap();
    let key = begin(&mut tracker, written);
    assert_eq!(tracker.observe(&group.report(1)), vec![]);
    assert_eq!(tracker.next_awaited(&target(1)), Some(written));
    group.replicate(1, 1);
    let resolved = tracker.observe(&group.report(1));
    assert_eq!(resolved, vec![(key, AckOutcome::Acknowledged)]);
    assert_eq!(tracker.pending_count(), 0);
}

#[test]
fn a_report_received_before_the_write_acknowledges_immediately() {
    let mut group = ModelGroup::new(3);
    let mut tracker = tracker(&group);
    let (written, _) = group.write(0).unwrap();
    group.replicate(2, 1);
    assert_eq!(tracker.observe(&group.report(2)), vec![]);
    let start = tracker.begin(&target(0), written, at(0));
    assert_eq!(start, AckStatus::Resolved(AckOutcome::Acknowledged));
}

#[test]
fn a_write_is_unknown_once_a_majority_has_left_its_term() {
    let mut group = ModelGroup::new(3);
    let mut tracker = tracker(&group);
    let (written, _) = group.write(0).unwrap();
    let key = begin(&mut tracker, written);
    group.fence(1, LeaderTerm::new(2), 1);
    assert_eq!(tracker.observe(&group.report(1)), vec![]);
    assert_eq!(tracker.next_awaited(&target(1)), None);
    assert_eq!(tracker.next_awaited(&target(2)), Some(written));
    group.fence(2, LeaderTerm::new(2), 1);
    let outcome = AckOutcome::Unknown(AckFailure::TermSuperseded);
    assert_eq!(tracker.observe(&group.report(2)), vec![(key, outcome)]);
    let late = tracker.begin(&target(0), position(1, 3), at(1));
    assert_eq!(late, AckStatus::Resolved(outcome));
}

#[test]
fn a_write_is_unknown_after_its_timeout() {
    let mut group = ModelGroup::new(3);
    let mut tracker = tracker(&group);
    let (written, _) = group.write(0).unwrap();
    let key = begin(&mut tracker, written);
    assert_eq!(tracker.next_deadline(), Some(at(100)));
    assert_eq!(tracker.expire(at(99)), vec![]);
    let outcome = AckOutcome::Unknown(AckFailure::TimedOut);
    assert_eq!(tracker.expire(at(100)), vec![(key, outcome)]);
}

#[test]
fn a_cancelled_wait_ends_without_an_outcome() {
    let mut group = ModelGroup::new(3);
    let mut tracker = tracker(&group);
    let (written, _) = group.write(0).unwrap();
    let key = begin(&mut tracker, written);
    let second = tracker.begin_read(written, at(10));
    tracker.cancel(key);
    assert_eq!(tracker.pending_count(), 1);
    assert_eq!(tracker.next_deadline(), Some(at(110)));
    group.replicate(1, 1);
    let resolved = tracker.observe(&group.report(1));
    let keys = resolved.into_iter().map(|(key, _)| AckStatus::Waiting(key));
    assert_eq!(keys.collect::<Vec<_>>(), vec![second]);
    assert_eq!(tracker.next_deadline(), None);
}

/// An entry of term 1 that the primary of term 3 replicates to a majority is not
/// durable before an entry of term 3 is: the former primary of term 2 can still
/// be promoted again and truncate it.
#[test]
fn a_holder_in_a_later_term_does_not_acknowledge() {
    let mut group = ModelGroup::new(3);
    let mut tracker = tracker(&group);
    let mut any_term_tracker = tracker.clone();
    let (written, entry) = group.write(0).unwrap();
    tracker.begin(&target(0), written, at(0));
    any_term_tracker.begin(&target(0), written, at(0));

    change_primary(&mut group, 2, 1, &[1, 2]);
    change_primary(&mut group, 3, 0, &[0, 2]);
    group.follow(2, LeaderTerm::new(3), 0);
    group.replicate(2, 1);
    let report = group.report(2);
    assert_eq!((report.term, report.last), (LeaderTerm::new(3), written));
    let resolved = tracker.observe(&report);
    assert!(
        !resolved
            .iter()
            .any(|(_, outcome)| *outcome == AckOutcome::Acknowledged)
    );
    let in_any_term = ServerReport {
        term: report.last.term,
        ..report
    };
    let resolved = any_term_tracker.observe(&in_any_term);
    assert!(
        resolved
            .iter()
            .any(|(_, outcome)| *outcome == AckOutcome::Acknowledged)
    );

    change_primary(&mut group, 4, 1, &[1, 2]);
    assert!(group.report(2).last < group.report(1).last);
    assert!(!group.servers[1].log.contains(&entry));
}

fn change_primary(group: &mut ModelGroup, term: u64, primary: usize, granting: &[usize]) {
    let term = LeaderTerm::new(term);
    for server in granting {
        assert!(group.fence(*server, term, term.get()));
    }
    assert!(group.promote(primary, term, term.get()).1);
}

#[test]
fn the_view_keeps_the_newest_report() {
    let mut group = ModelGroup::new(3);
    let mut view = GroupView::new(group.members());
    let old = group.report(0);
    group.write(0);
    assert!(view.observe(group.report(0), at(5), at(6)));
    assert!(!view.observe(old, at(4), at(7)));
    assert_eq!(view.report(&target(0)).unwrap().report.last, position(1, 2));
    assert_eq!(view.primary().unwrap().report.target, target(0));
    assert!(view.is_unresponsive(&target(1), at(6), TIMEOUT));
    assert!(!view.is_unresponsive(&target(0), at(106), TIMEOUT));
    assert!(view.is_unresponsive(&target(0), at(107), TIMEOUT));
}

#[test]
fn the_primary_of_the_greatest_term_is_current() {
    let mut group = ModelGroup::new(3);
    let mut view = GroupView::new(group.members());
    change_primary(&mut group, 2, 1, &[1, 2]);
    for server in 0..3 {
        view.observe(group.report(server), at(1), at(1));
    }
    assert_eq!(view.primary().unwrap().report.target, target(1));
    assert!(view.is_superseded(LeaderTerm::new(1)));
    assert!(!view.is_superseded(LeaderTerm::new(2)));
}

#[test]
fn the_floor_decreases_as_more_servers_report() {
    let members = ModelGroup::new(3).members();
    let lasts = [position(1, 9), position(1, 4), position(1, 7)];
    assert_eq!(quorum_floor(&members, &lasts[..1]), None);
    assert_eq!(quorum_floor(&members, &lasts[..2]), Some(position(1, 9)));
    assert_eq!(quorum_floor(&members, &lasts), Some(position(1, 7)));
}

#[test]
fn a_round_counts_only_reports_requested_after_its_start() {
    let group = ModelGroup::new(3);
    let settings = FloorSettings::new().timeout(TIMEOUT);
    let mut tracker = FloorTracker::new(group.members(), settings);
    let (round, action) = tracker.join(at(10));
    assert_eq!(action, Some(FloorAction::RequestReports(round)));
    for server in 0..3 {
        assert_eq!(
            tracker.observe(&group.report(server), at(9), at(12)),
            vec![]
        );
    }
    assert_eq!(tracker.expire(at(109)), vec![]);
    assert_eq!(tracker.expire(at(110)), vec![FloorAction::Fail(round)]);
}

#[test]
fn a_read_that_arrives_during_a_round_joins_the_next() {
    let group = ModelGroup::new(3);
    let settings = FloorSettings::new().straggler_wait(Duration::ZERO);
    let mut tracker = FloorTracker::new(group.members(), settings);
    let (first, _) = tracker.join(at(10));
    let (second, action) = tracker.join(at(11));
    assert!(second > first);
    assert_eq!(action, None);
    assert_eq!(tracker.observe(&group.report(1), at(10), at(12)), vec![]);
    let actions = tracker.observe(&group.report(2), at(10), at(12));
    let floor = position(1, 1);
    let completed = FloorAction::Complete {
        round: first,
        floor,
    };
    assert_eq!(
        actions,
        vec![completed, FloorAction::RequestReports(second)]
    );
}

#[test]
fn a_round_waits_for_more_than_a_majority_unless_the_rest_is_unresponsive() {
    let mut group = ModelGroup::new(3);
    let mut tracker = FloorTracker::new(group.members(), FloorSettings::new());
    group.write(0).unwrap();
    let (first, _) = tracker.join(at(10));
    assert_eq!(tracker.observe(&group.report(0), at(10), at(11)), vec![]);
    assert_eq!(tracker.observe(&group.report(1), at(10), at(11)), vec![]);
    let actions = tracker.observe(&group.report(2), at(10), at(12));
    let floor = position(1, 1);
    let round = first;
    assert_eq!(actions, vec![FloorAction::Complete { round, floor }]);

    tracker.set_unresponsive(&target(2), true);
    let (round, _) = tracker.join(at(20));
    assert_eq!(tracker.observe(&group.report(0), at(20), at(21)), vec![]);
    let actions = tracker.observe(&group.report(1), at(20), at(21));
    let floor = position(1, 2);
    assert_eq!(actions, vec![FloorAction::Complete { round, floor }]);
}

#[test]
fn a_read_at_the_primary_waits_until_its_rows_are_durable() {
    let mut group = ModelGroup::new(3);
    let mut tracker = tracker(&group);
    group.write(0).unwrap();
    let report = group.report(0);
    assert_eq!(tracker.observe(&report), vec![]);
    let AckStatus::Waiting(key) = tracker.begin_read(report.last, at(0)) else {
        panic!("resolved by the primary alone");
    };
    group.replicate(1, 1);
    let resolved = tracker.observe(&group.report(1));
    assert_eq!(resolved, vec![(key, AckOutcome::Acknowledged)]);
}

#[test]
fn a_read_at_a_replica_of_the_term_needs_no_wait() {
    let mut group = ModelGroup::new(3);
    let mut tracker = tracker(&group);
    group.write(0).unwrap();
    group.replicate(1, 1);
    let report = group.report(1);
    assert_eq!(tracker.observe(&report), vec![]);
    let start = tracker.begin_read(report.last, at(0));
    assert_eq!(start, AckStatus::Resolved(AckOutcome::Acknowledged));
}

#[test]
fn the_history_returns_the_age_of_a_position() {
    let mut history = FloorHistory::new();
    history.record(at(10), position(1, 5));
    history.record(at(20), position(1, 8));
    history.record(at(30), position(1, 7));
    assert_eq!(history.fresh_at(position(1, 4)), None);
    assert_eq!(history.fresh_at(position(1, 6)), Some(at(10)));
    assert_eq!(history.fresh_at(position(1, 7)), Some(at(30)));
    assert_eq!(history.floor_since(at(10)), Some(position(1, 5)));
    assert_eq!(history.floor_since(at(11)), Some(position(1, 7)));
    assert_eq!(history.floor_since(at(31)), None);
}

#[test]
fn the_history_returns_since_when_a_position_is_behind() {
    let mut history = FloorHistory::new();
    for millis in [10, 20, 30] {
        history.record(at(millis), position(1, 5));
    }
    assert_eq!(history.behind_since(position(1, 4)), Some(at(10)));
    assert_eq!(history.behind_since(position(1, 5)), None);
    assert_eq!(history.fresh_at(position(1, 5)), Some(at(30)));
    history.record(at(40), position(1, 6));
    history.record(at(50), position(1, 5));
    assert_eq!(history.behind_since(position(1, 4)), Some(at(10)));
    assert_eq!(history.floor_since(at(45)), Some(position(1, 5)));
}
