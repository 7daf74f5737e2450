//! Each check finds the fault planted in a history, and passes the sound one.

use mustardhinge_bench::check::*;
use mustardhinge_bench::history::*;
use mustardhinge_core::prelude::*;

use crate::builders::*;

fn rules(violations: &[RuleViolation]) -> Vec<RuleName> {
    violations.iter().map(|violation| violation.rule).collect()
}

fn written_then_read(value: &str, has_token: bool) -> RunHistory {
    let mut read = operation(3, (40, 50), read("k", has_token));
    read.instance = id("i-2");
    read.result = completed(&[value]);
    let operations = vec![
        operation(1, (0, 10), write("k", "old")),
        operation(2, (20, 30), write("k", "new")),
        read,
    ];
    history(operations, Vec::new())
}

#[test]
fn a_sound_history_passes_every_check() {
    let mut sound = written_then_read("new", false);
    sound.commits = vec![
        commit("1/1", &[("k", "old")]),
        commit("1/2", &[("k", "new")]),
    ];
    assert_eq!(check_history(&sound), []);
}

#[test]
fn a_session_that_reads_before_its_own_write_is_found() {
    let stale = check_session_order(&written_then_read("old", true));
    assert_eq!(rules(&stale), [RuleName::ReadYourWrites]);
    assert_eq!(check_session_order(&written_then_read("new", true)), []);
}

#[test]
fn an_absent_row_after_its_own_write_is_found() {
    let mut history = written_then_read("new", true);
    history.operations[2].result = completed(&[]);
    let violations = check_session_order(&history);
    assert_eq!(rules(&violations), [RuleName::ReadYourWrites]);
}

#[test]
fn a_later_write_of_another_session_may_be_read() {
    let mut history = written_then_read("other", true);
    let mut other = operation(4, (25, 35), write("k", "other"));
    other.session = id("s-2");
    history.operations.push(other);
    assert_eq!(check_session_order(&history), []);
}

#[test]
fn an_old_value_read_without_token_by_another_session_is_found() {
    let mut stale = written_then_read("old", false);
    stale.operations[2].session = id("s-2");
    let checks = check_linearizable_rows(&stale);
    assert_eq!(rules(&checks.violations), [RuleName::Linearizability]);
    assert_eq!(checks.checked, 1);
}

#[test]
fn an_open_write_may_take_effect_late_or_never() {
    for value in ["old", "new"] {
        let mut history = written_then_read(value, false);
        history.operations[1].result = OperationResult::Unknown;
        assert_eq!(check_linearizable_rows(&history).violations, []);
    }
}

#[test]
fn an_open_write_that_was_seen_may_not_vanish() {
    let mut history = written_then_read("new", false);
    history.operations[1].result = OperationResult::Unknown;
    let mut later = operation(4, (60, 70), read("k", false));
    later.result = completed(&["old"]);
    history.operations.push(later);
    let checks = check_linearizable_rows(&history);
    assert_eq!(rules(&checks.violations), [RuleName::Linearizability]);
}

#[test]
fn a_retried_write_takes_effect_once() {
    let mut history = written_then_read("new", false);
    let mut first_try = operation(5, (1, 5), write("k", "new"));
    first_try.result = OperationResult::Unknown;
    history.operations.push(first_try);
    assert_eq!(check_linearizable_rows(&history).violations, []);
}

#[test]
fn a_write_confirmed_below_a_promoted_term_is_found() {
    let mut late = operation(1, (100, 110), write("k", "v"));
    late.result = OperationResult::Completed {
        values: Vec::new(),
        position: Some("1/9".parse().unwrap()),
    };
    let mut history = history(vec![late], Vec::new());
    history.promotions.push(PromotionRecord {
        service: id("haulage"),
        target: id("t-2"),
        term: LeaderTerm::new(2),
        at: MonotonicTime::from_millis(50),
    });
    let violations = check_replaced_primary(&history);
    assert_eq!(rules(&violations), [RuleName::ReplacedPrimary]);

    history.operations[0].started = MonotonicTime::from_millis(40);
    assert_eq!(check_replaced_primary(&history), []);
}

#[test]
fn a_confirmed_write_that_is_lost_is_found() {
    let operations = vec![operation(1, (0, 10), write("k", "v"))];
    let mut history = history(operations, vec![commit("1/1", &[("k", "v")])]);
    assert_eq!(check_exactly_once(&history), []);
    history.commits[0].survives = false;
    let violations = check_exactly_once(&history);
    assert_eq!(rules(&violations), [RuleName::ExactlyOnce]);
}

#[test]
fn a_request_that_ran_twice_is_found() {
    let commits = vec![commit("1/1", &[("k", "v")]), commit("1/2", &[("k", "v")])];
    let mut order = operation(1, (0, 10), write("k", "v"));
    order.result = OperationResult::Unknown;
    let violations = check_exactly_once(&history(vec![order], commits));
    assert_eq!(rules(&violations), [RuleName::ExactlyOnce]);
}

#[test]
fn a_refused_request_that_ran_is_found() {
    let mut refused = operation(1, (0, 10), write("k", "v"));
    refused.result = not_run("no_primary");
    let mut history = history(vec![refused], vec![commit("1/1", &[("k", "v")])]);
    let violations = check_not_run_truth(&history);
    assert_eq!(rules(&violations), [RuleName::NotRunTruth]);
    history.commits.clear();
    assert_eq!(check_not_run_truth(&history), []);
}

#[test]
fn mixed_and_torn_transactions_are_found() {
    let reassignment = |value: &str| OperationKind::Reassignment {
        keys: ["a".to_owned(), "b".to_owned()],
        value: value.to_owned(),
    };
    let operations = vec![
        operation(1, (0, 10), reassignment("v")),
        operation(2, (0, 10), reassignment("w")),
    ];
    let whole = commit("1/1", &[("a", "v"), ("b", "v")]);
    let torn = commit("1/2", &[("a", "w")]);
    let mixed = commit("1/3", &[("a", "v"), ("b", "w")]);
    let violations = check_transaction_isolation(&history(operations, vec![whole, torn, mixed]));
    assert_eq!(rules(&violations), [RuleName::TransactionIsolation; 2]);
}

#[test]
fn a_customer_beyond_its_rate_and_burst_is_found_in_any_window() {
    let limit = CustomerLimit {
        service: id("haulage"),
        customer: id("c-1"),
        rate: "10/s".parse().unwrap(),
        burst: "2req".parse().unwrap(),
    };
    // Two at once, then one each 100 ms: exactly the limit.
    let due = |number: u64| 500 + 100 * number.saturating_sub(2);
    let operations = (1..=20)
        .map(|number| operation(number, (due(number), due(number)), read("k", true)))
        .collect();
    let mut history = history(operations, Vec::new());
    history.limits.push(limit);
    assert_eq!(check_customer_rate(&history), []);

    history
        .operations
        .push(operation(21, (1000, 1001), read("k", true)));
    let violations = check_customer_rate(&history);
    assert_eq!(rules(&violations), [RuleName::CustomerRate]);
}

#[test]
fn a_withdrawn_key_that_still_works_is_found() {
    let mut history = history(
        vec![operation(1, (5_000, 5_010), read("k", true))],
        Vec::new(),
    );
    history.withdrawals.push(KeyWithdrawal {
        service: id("haulage"),
        customer: id("c-1"),
        at: MonotonicTime::from_millis(1_000),
    });
    let violations = check_key_withdrawal(&history);
    assert_eq!(rules(&violations), [RuleName::KeyWithdrawal]);
    history.operations[0].result = not_run("key_rejected");
    assert_eq!(check_key_withdrawal(&history), []);
}

#[test]
fn an_answer_to_another_request_is_found() {
    let mut crossed = operation(2, (20, 30), read("k", true));
    crossed.result = completed(&["w"]);
    let operations = vec![operation(1, (0, 10), write("other", "w")), crossed];
    let violations = check_own_answer(&history(operations, Vec::new()));
    assert_eq!(rules(&violations), [RuleName::OwnAnswer]);
}

#[test]
fn an_answer_that_is_not_whole_is_found() {
    let mut short = operation(1, (0, 10), OperationKind::OpenRead { rows: 3 });
    short.result = completed(&["a", "b"]);
    let violations = check_own_answer(&history(vec![short], Vec::new()));
    assert_eq!(rules(&violations), [RuleName::OwnAnswer]);
}

#[test]
fn a_key_in_the_bytes_of_a_target_is_found() {
    let received = [TargetBytes {
        target: id("t-1"),
        bytes: b"SELECT v FROM t WHERE k = 'key-of-c-1'".to_vec(),
    }];
    let found = check_key_secrecy(&received, &["key-of-c-1".to_owned()]);
    assert_eq!(rules(&found), [RuleName::KeySecrecy]);
    assert!(!found[0].evidence.contains("key-of-c-1"));
    assert_eq!(check_key_secrecy(&received, &["key-of-c-2".to_owned()]), []);
}

#[test]
fn an_operation_cut_by_a_planned_stop_is_found() {
    let mut cut = operation(1, (10, 30), write("k", "v"));
    cut.result = OperationResult::Broken {
        cause: "closed".to_owned(),
    };
    let mut history = history(vec![cut], Vec::new());
    history.stops.push(PlannedStop {
        instance: id("i-1"),
        from: MonotonicTime::from_millis(20),
        to: MonotonicTime::from_millis(40),
    });
    let violations = check_planned_stop(&history);
    assert_eq!(rules(&violations), [RuleName::PlannedStop]);
    history.operations[0].result = not_run("instance_draining");
    assert_eq!(check_planned_stop(&history), []);
}

#[test]
fn a_leaving_target_that_gets_work_is_found() {
    let mut history = RunHistory::default();
    history.leaving.push(LeavingWork {
        target: id("t-1"),
        late_statements: 1,
    });
    let violations = check_leaving_target(&history);
    assert_eq!(rules(&violations), [RuleName::LeavingTarget]);
    history.leaving[0].late_statements = 0;
    assert_eq!(check_leaving_target(&history), []);
}

fn sighting(instance: &str, version: u64, at_ms: u64) -> VersionSighting {
    VersionSighting {
        service: id("haulage"),
        instance: id(instance),
        version: DocumentVersion::new(version),
        at: MonotonicTime::from_millis(at_ms),
    }
}

fn update(operation: &str, version: u64) -> AcceptedUpdate {
    AcceptedUpdate {
        service: id("haulage"),
        operation: operation.to_owned(),
        version: DocumentVersion::new(version),
        at: MonotonicTime::from_millis(1_000),
    }
}

#[test]
fn a_version_that_goes_back_is_found() {
    let sightings = vec![sighting("i-1", 5, 0), sighting("i-1", 7, 10)];
    let mut history = RunHistory {
        sightings,
        ..RunHistory::default()
    };
    assert_eq!(check_configuration_order(&history), []);
    history.sightings.push(sighting("i-1", 5, 20));
    let violations = check_configuration_order(&history);
    assert_eq!(rules(&violations), [RuleName::ConfigurationOrder]);
}

#[test]
fn two_updates_accepted_under_one_version_are_found() {
    let mut history = RunHistory {
        sightings: vec![sighting("i-1", 7, 1_100)],
        updates: vec![update("first", 7)],
        ..RunHistory::default()
    };
    assert_eq!(check_configuration_order(&history), []);
    history.updates.push(update("second", 7));
    let violations = check_configuration_order(&history);
    assert_eq!(rules(&violations), [RuleName::ConfigurationOrder]);
}

#[test]
fn an_accepted_version_that_is_not_in_force_everywhere_is_found() {
    let mut history = RunHistory {
        sightings: vec![sighting("i-1", 7, 1_100), sighting("i-2", 6, 0)],
        updates: vec![update("first", 7)],
        ..RunHistory::default()
    };
    let violations = check_configuration_order(&history);
    assert_eq!(rules(&violations), [RuleName::ConfigurationOrder]);
    history.sightings.push(sighting("i-2", 7, 3_999));
    assert_eq!(check_configuration_order(&history), []);
}
