//! Home regions: which targets and instances a restricted statement may reach.

use mustardhinge_core::placement::{HomeRegions, ZoneRegions};
use mustardhinge_core::prelude::ZoneId;

fn homes(names: &[&str]) -> HomeRegions {
    HomeRegions::new(names.iter().map(|name| name.parse().unwrap())).unwrap()
}

fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

/// Two zones in the region `a`, one in each of `b` and `c`.
fn regions() -> ZoneRegions {
    let zones = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];
    let zones = zones.map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()));
    zones.into_iter().collect()
}

fn allowed_targets(homes: &HomeRegions) -> Vec<&'static str> {
    let mut zones = vec!["a1", "a2", "b1", "c1", "unlisted"];
    zones.retain(|name| homes.allows_target(&zone(name), &regions()));
    zones
}

/// Guards against a target outside the homes, and against one whose zone has no known region.
#[test]
fn a_statement_reaches_targets_in_its_homes_only() {
    assert_eq!(allowed_targets(&homes(&["a"])), ["a1", "a2"]);
    assert_eq!(allowed_targets(&homes(&["c", "b", "c"])), ["b1", "c1"]);
}

/// Guards against an empty list that refuses everything.
#[test]
fn an_empty_list_is_no_restriction() {
    assert_eq!(HomeRegions::new([]), None);
}

/// Guards against the union of the homes of route and customer, and against an empty intersection
/// that counts as no restriction.
#[test]
fn both_lists_bind() {
    let both = homes(&["a", "b"]).intersection(&homes(&["b", "c"]));
    assert_eq!(allowed_targets(&both), ["b1"]);
    assert_eq!(both.to_string(), "b");
    let none = homes(&["a"]).intersection(&homes(&["c"]));
    assert!(allowed_targets(&none).is_empty());
    assert_eq!(none.to_string(), "none");
}

/// Guards against the text at an instance in a third region, and against a caller's instance outside
/// the homes that can't use the gateways of its own region.
#[test]
fn the_text_stays_in_the_homes_and_in_the_region_of_the_callers_instance() {
    let home = homes(&["b"]);
    let allows =
        |to: &str, caller: &str| home.allows_instance(&zone(to), &zone(caller), &regions());
    assert!(allows("b1", "a1"));
    assert!(allows("a2", "a1"));
    assert!(!allows("c1", "a1"));
    assert!(!allows("unlisted", "a1"));
    assert!(allows("unlisted", "unlisted"));
    assert!(!allows("a1", "unlisted"));
}
