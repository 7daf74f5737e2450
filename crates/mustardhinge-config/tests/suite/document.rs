use mustardhinge_config::document::{MAX_DOCUMENT_BYTES, ServiceDocument};
use mustardhinge_core::prelude::RoutePriority;
use proptest::prelude::*;

const DOCUMENT: &str = include_str!("../../../../examples/muscat/haulage-1.toml");

fn problems(text: &str) -> String {
    ServiceDocument::parse(text).unwrap_err().to_string()
}

#[track_caller]
fn assert_finding(from: &str, to: &str, expected: &str) {
    assert!(DOCUMENT.contains(from), "sample lacks {from:?}");
    let findings = problems(&DOCUMENT.replacen(from, to, 1));
    assert!(findings.contains(expected), "{findings}");
}

#[test]
fn wrong_units_are_found() {
    assert_finding("rate = \"40/s\"", "rate = \"40/min\"", "customer[0].rate");
    assert_finding("burst = \"80req\"", "burst = 80", "80 is no text");
}

#[test]
fn absurd_rates_are_found() {
    assert_finding("\"40/s\"", "\"0/s\"", "0/s is out of range");
    assert_finding("\"40/s\"", "\"-4/s\"", "customer[0].rate");
    assert_finding("\"40/s\"", "\"99999999999/s\"", "out of range");
    assert_finding("\"80req\"", "\"0.5req\"", "0.500req is out of range");
}

#[test]
fn duplicates_are_found() {
    let twice =
        format!("{DOCUMENT}\n[[route]]\nname = 'catalogue'\n[[route]]\nname = 'catalogue'\n");
    assert!(problems(&twice).contains("the same stands at route["));
    assert_finding("haulage-1-b", "haulage-1-a", "group.target[1].name");
    assert_finding(
        "127.0.0.1:5412",
        "127.0.0.1:5411",
        "group.target[1].address",
    );
    let document = ServiceDocument::parse(DOCUMENT).unwrap();
    let first = document.customers[0].keys[0].to_string();
    let second = document.customers[1].keys[0].to_string();
    assert_finding(&second, &first, "customer[1].keys[0]");
}

#[test]
fn an_even_number_of_targets_is_found() {
    let start = DOCUMENT.rfind("[[group.target]]").unwrap();
    let end = start + DOCUMENT[start..].find("\n\n").unwrap();
    let text = format!("{}{}", &DOCUMENT[..start], &DOCUMENT[end..]);
    assert!(problems(&text).contains("2 targets"));
}

#[test]
fn bad_addresses_are_found() {
    assert_finding("127.0.0.1:5411", "db-1:5411", "group.target[0].address");
    assert_finding(
        "127.0.0.1:5411",
        "0.0.0.0:5411",
        "no address of one machine",
    );
    assert_finding("127.0.0.1:5411", "127.0.0.1:0", "port 0");
}

#[test]
fn more_slots_than_connections_are_found() {
    let to = "slots_per_target = 31";
    assert_finding("slots_per_target = 5", to, "31 slots, but 30 connections");
}

#[test]
fn unknown_keys_are_found_with_their_line() {
    let findings = ServiceDocument::parse("service = 'a'\n\ncolour = 'red'\n").unwrap_err();
    let colour = findings
        .iter()
        .find(|finding| finding.place.key_path == "colour");
    assert_eq!(colour.unwrap().place.line, Some(3));
}

#[test]
fn all_findings_come_together() {
    let text = DOCUMENT
        .replacen("\"40/s\"", "\"0/s\"", 1)
        .replacen("127.0.0.1:5411", "db", 1)
        .replacen("slots_per_target", "slots", 1);
    assert_eq!(ServiceDocument::parse(&text).unwrap_err().len(), 3);
}

#[test]
fn oversized_documents_are_refused() {
    let text = format!("{DOCUMENT}{}", "#".repeat(MAX_DOCUMENT_BYTES));
    assert!(problems(&text).contains("at most"));
}

#[test]
fn broken_syntax_is_found_with_its_line() {
    let findings = ServiceDocument::parse("service = 'a'\ngroup = [\n").unwrap_err();
    assert!(findings.to_string().contains("not TOML"));
    assert!(findings.iter().all(|finding| finding.place.line.is_some()));
}

proptest! {
    #[test]
    fn any_text_is_answered(text in ".{0,200}") {
        let _ = ServiceDocument::parse(&text);
    }

    #[test]
    fn a_cut_document_holds_nothing_that_the_whole_has_not(cut in 0..DOCUMENT.len()) {
        let whole = ServiceDocument::parse(DOCUMENT).unwrap();
        if let Ok(part) = ServiceDocument::parse(&DOCUMENT[..cut]) {
            prop_assert_eq!(&part.service, &whole.service);
            prop_assert_eq!(&part.limits, &whole.limits);
            prop_assert!(whole.group.targets.starts_with(&part.group.targets));
            let complete = part.customers.len().saturating_sub(1);
            prop_assert!(whole.customers.starts_with(&part.customers[..complete]));
        }
    }
}

#[test]
fn findings_show_no_key() {
    let document = ServiceDocument::parse(DOCUMENT).unwrap();
    let first = document.customers[0].keys[0].to_string();
    let second = document.customers[1].keys[0].to_string();
    let plain = problems(&DOCUMENT.replacen(&first, "plain-key", 1));
    assert!(plain.contains("customer[0].keys[0]"), "{plain}");
    assert!(!plain.contains("plain-key"), "{plain}");
    let twice = problems(&DOCUMENT.replacen(&second, &first, 1));
    assert!(!twice.contains(&first), "{twice}");
}

/// Guards against a priority that no queue knows, and a finding without its place.
#[test]
fn priorities_outside_their_range_are_found() {
    let route = "name = \"confirm\"";
    for (value, expected) in [("8", "8 is out of range"), ("-1", "-1 is out of range")] {
        let text = format!("{route}\npriority = {value}");
        assert_finding(route, &text, expected);
        assert_finding(route, &text, "route[2].priority");
        assert_finding(route, &text, "line 95");
        assert_finding(route, &text, "give a whole number from 0 to 7");
    }
    assert_finding(
        route,
        &format!("{route}\npriority = \"high\""),
        "route[2].priority",
    );
}

/// Guards against priorities that take effect where all routes have the same one, and against a
/// serialized document that an earlier version can't read although it uses no priority.
#[test]
fn absent_and_equal_priorities_change_nothing() {
    let with_priorities = |priorities: [u8; 4]| {
        let mut document = ServiceDocument::parse(DOCUMENT).unwrap();
        for (route, priority) in document.routes.iter_mut().zip(priorities) {
            route.priority = RoutePriority::new(priority);
        }
        document
    };
    let absent = ServiceDocument::parse(DOCUMENT).unwrap();
    assert_eq!(absent, with_priorities([0; 4]));
    assert!(!toml::to_string(&absent).unwrap().contains("priority"));
    assert!(!absent.has_route_priorities());
    assert!(!with_priorities([7; 4]).has_route_priorities());
    let different = with_priorities([0, 0, 0, 7]);
    assert!(different.has_route_priorities());
    let read_back = ServiceDocument::parse(&toml::to_string(&different).unwrap()).unwrap();
    assert_eq!(read_back, different);
}
