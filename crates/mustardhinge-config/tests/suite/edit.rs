use mustardhinge_config::document::edit::{EditError, remove_key, set_leaving};
use mustardhinge_config::document::{ServiceDocument, find_differences};

const DOCUMENT: &str = include_str!("../../../../examples/muscat/haulage-1.toml");

fn difference_paths(text: &str) -> Vec<String> {
    let old = ServiceDocument::parse(DOCUMENT).unwrap();
    let new = ServiceDocument::parse(text).unwrap();
    let differences = find_differences(&old, &new);
    differences.iter().map(ToString::to_string).collect()
}

#[test]
fn a_removed_key_changes_nothing_else() {
    let document = ServiceDocument::parse(DOCUMENT).unwrap();
    let customer = &document.customers[1];
    let edited = remove_key(DOCUMENT, &customer.name, &customer.keys[0]).unwrap();
    let path = format!("customer[{}].keys changed", customer.name);
    assert_eq!(difference_paths(&edited), [path]);
    assert!(!edited.contains(&customer.keys[0].to_string()));
    assert_eq!(edited.matches('#').count(), DOCUMENT.matches('#').count());
    let again = remove_key(&edited, &customer.name, &customer.keys[0]).unwrap();
    assert_eq!(again, edited);
}

#[test]
fn an_unknown_customer_is_named() {
    let document = ServiceDocument::parse(DOCUMENT).unwrap();
    let customer = "nobody".parse().unwrap();
    let outcome = remove_key(DOCUMENT, &customer, &document.customers[0].keys[0]);
    assert_eq!(outcome, Err(EditError::NoCustomer(customer)));
}

#[test]
fn a_target_leaves_and_comes_back() {
    let target = "haulage-1-b".parse().unwrap();
    let leaving = set_leaving(DOCUMENT, &target, true).unwrap();
    let expected = ["group.target[haulage-1-b].leaving changed"];
    assert_eq!(difference_paths(&leaving), expected);
    let back = set_leaving(&leaving, &target, false).unwrap();
    assert!(difference_paths(&back).is_empty());
}

#[test]
fn every_kind_of_difference_is_named() {
    let text = DOCUMENT
        .replacen("\"40/s\"", "\"41/s\"", 1)
        .replacen("\"muttrah\"", "\"matrah\"", 1)
        .replacen("slots_per_target = 5", "slots_per_target = 4", 1)
        .replacen("max_age_ms = 5000", "max_age_ms = 1", 1)
        .replacen("\"confirm\"", "\"confirm\"\npriority = 3", 1);
    let expected = [
        "limits.slots_per_target changed",
        "customer[seeb].rate changed",
        "customer[muttrah] removed",
        "customer[matrah] added",
        "route[route-overview].max_age_ms changed",
        "route[confirm].priority changed",
    ];
    assert_eq!(difference_paths(&text), expected);
}
