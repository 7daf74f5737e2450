use std::fmt::Write;

use mustardhinge_config::document::ServiceDocument;
use mustardhinge_config::line::{LineIndex, LineTable};
use proptest::prelude::*;
use toml::de::DeTable;

fn document(customers: usize) -> String {
    let mut text = "service = 's'\n[group]\nname = 'g'\n[[group.target]]\nname = 't'\n\
                    zone = 'z'\naddress = '127.0.0.1:5401'\n"
        .to_owned();
    for customer in 0..customers {
        let table = "[[customer]]\nrate = '40/s'\nburst = '80req'\n";
        writeln!(
            text,
            "{table}name = 'c-{customer}'\nkeys = ['{customer:064x}']"
        )
        .unwrap();
    }
    text
}

fn index(text: &str) -> LineIndex {
    LineIndex::new(text, DeTable::parse(text).unwrap().get_ref())
}

#[test]
fn steps_of_the_index_grow_with_the_customers() {
    let (small, large) = (document(300), document(2_400));
    assert!(ServiceDocument::parse(&large).is_ok());
    let (fewer, more) = (index(&small).get_steps(), index(&large).get_steps());
    assert!(more < 2 * 8 * fewer, "{fewer} steps, then {more}");
}

#[test]
fn each_key_of_a_long_document_has_its_line() {
    let text = document(300);
    let index = index(&text);
    for customer in 0..300 {
        let first = 8 + customer * 5;
        let line = |key: &str| index.find(&format!("customer[{customer}]{key}"));
        assert_eq!(line(""), Some(first));
        assert_eq!(line(".name"), Some(first + 3));
        assert_eq!(line(".keys[0]"), Some(first + 4));
        assert_eq!(line(".unknown"), Some(first));
    }
}

#[test]
fn a_duplicate_far_down_is_found_at_its_line() {
    let text = document(300).replace("'c-299'", "'c-7'");
    let findings = ServiceDocument::parse(&text).unwrap_err().to_string();
    assert!(
        findings.starts_with("line 1506, customer[299].name"),
        "{findings}"
    );
}

proptest! {
    #[test]
    fn lines_are_those_of_a_count(text in "[a\u{e9}\n\r]{0,40}", offset in 0_usize..100) {
        let end = offset.min(text.len());
        let breaks = text.bytes().take(end).filter(|byte| *byte == b'\n').count();
        prop_assert_eq!(LineTable::new(&text).find_line(offset), breaks + 1);
    }
}
