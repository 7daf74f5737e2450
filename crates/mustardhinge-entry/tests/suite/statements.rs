use mustardhinge_entry::statement::{StatementKind, StatementScan};
use proptest::prelude::*;

fn kind(text: &str) -> StatementKind {
    StatementScan::new(text).kind
}

#[test]
fn reads_and_writes_are_distinguished() {
    assert_eq!(kind("SELECT 1"), StatementKind::Read);
    assert_eq!(
        kind("-- note\n/* x */ select v from t"),
        StatementKind::Read
    );
    assert_eq!(
        kind("WITH a AS (SELECT 1) SELECT * FROM a"),
        StatementKind::Read
    );
    assert_eq!(kind("INSERT INTO t VALUES (1)"), StatementKind::Write);
    assert_eq!(kind("SELECT v FROM t FOR UPDATE"), StatementKind::Write);
    assert_eq!(
        kind("WITH a AS (DELETE FROM t RETURNING v) SELECT * FROM a"),
        StatementKind::Write
    );
    assert_eq!(kind(" ; "), StatementKind::Empty);
}

#[test]
fn words_inside_strings_are_ignored() {
    assert_eq!(kind("SELECT 'INSERT; COMMIT'"), StatementKind::Read);
    assert_eq!(kind("SELECT E'it\\'s; COMMIT'"), StatementKind::Read);
    assert_eq!(kind("SELECT $tag$ ; DELETE $tag$"), StatementKind::Read);
    assert_eq!(kind("SELECT \"update\" FROM t"), StatementKind::Read);
}

#[test]
fn several_statements_keep_the_strictest_kind() {
    assert_eq!(kind("SELECT 1; SELECT 2"), StatementKind::Read);
    assert_eq!(
        kind("SELECT 1; INSERT INTO t VALUES (1)"),
        StatementKind::Write
    );
    assert_eq!(
        kind("INSERT INTO t VALUES (1); COMMIT"),
        StatementKind::Unsupported
    );
}

#[test]
fn tags_are_read_from_comments() {
    let scan = StatementScan::new("/*route='catalogue',request_id='r-17'*/ SELECT 1");
    let tag = scan.tag;
    assert_eq!(
        tag.route.map(|route| route.to_string()),
        Some("catalogue".into())
    );
    assert_eq!(tag.request_id.map(|id| id.to_string()), Some("r-17".into()));
}

#[test]
fn a_request_id_with_quotes_is_ignored() {
    let scan = StatementScan::new("/*request_id='r''; DROP'*/ INSERT INTO t VALUES (1)");
    assert_eq!(scan.tag.request_id, None);
}

#[test]
fn function_calls_are_detected() {
    let calls = |text: &str| StatementScan::new(text).calls_function;
    assert!(calls("SELECT place_order(17)"));
    assert!(calls("SELECT v FROM t WHERE k = next_key ()"));
    assert!(!calls(
        "SELECT count(*) FROM t WHERE k IN ('f(1)') AND (v = 'x')"
    ));
}

proptest! {
    #[test]
    fn any_text_can_be_scanned(text in "[ -~é\\n]{0,80}") {
        let _ = StatementScan::new(&text);
    }
}
